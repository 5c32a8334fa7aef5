"""Event: this process is going to stop."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Leave:
    """Tells the other members that this instance leaves."""
