"""A clock that only moves when it is advanced, for tests and benchmarks."""

from datetime import UTC, datetime, timedelta

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock:
    """Clock that only moves when `advance` is called.

    Parameters
    ----------
    start : timedelta, default=timedelta(0)
        Initial monotonic time.
    """

    __slots__ = ("_now",)

    def __init__(self, start: timedelta = timedelta(0)):
        self._now = start

    def now(self) -> timedelta:
        """Return the current monotonic time."""
        return self._now

    def wall(self) -> datetime:
        """Return the wall-clock time, which advances with the monotonic time."""
        return _EPOCH + self._now

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._now += step
