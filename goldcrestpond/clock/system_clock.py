"""The operating system's clock."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Clock of the machine."""

    __slots__ = ()

    def now(self) -> timedelta:
        """Return the monotonic reading of this process."""
        return timedelta(seconds=time.monotonic())

    def wall(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)
