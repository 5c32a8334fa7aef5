"""Event: this process is about to stop."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Leave:
    """Makes this process announce to other members that it leaves."""
