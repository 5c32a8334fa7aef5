"""The operating system's clock."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now(self) -> timedelta:
        """Return the monotonic time, including time while the machine is suspended.

        Leases must expire and data must age while an instance is suspended.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)
