"""Event: time has passed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Lets timers run; the shell sends one every `TICK_MS`."""


TICK_MS = 50
