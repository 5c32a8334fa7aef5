"""Event: the periodic timer fired."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tick:
    """Triggers the work that is due; sent every `TICK_MS` milliseconds."""


TICK_MS = 50
