"""The operating system's clock."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Clock of the machine."""

    __slots__ = ()

    def now(self) -> timedelta:
        """Return the monotonic reading, which goes on while the machine sleeps.

        A lease or an age must not stand still while an instance is suspended.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def wall(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)
