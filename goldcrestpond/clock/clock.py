"""Interface of the clock that is passed to each component."""

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time.

    Decision code gets the monotonic time as its argument ``now`` and never reads
    a clock itself.
    """

    def now(self) -> timedelta:
        """Return the monotonic time; comparable only within one process."""

    def wall(self) -> datetime:
        """Return the wall-clock time in UTC, for records only."""
