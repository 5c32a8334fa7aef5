"""The clock that every part is given."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time.

    Decisions receive monotonic readings as ``now`` and never ask a clock.
    """

    def now(self) -> timedelta:
        """Return a monotonic reading; only readings of one process compare."""

    def wall(self) -> datetime:
        """Return the wall time in UTC, for records only."""
