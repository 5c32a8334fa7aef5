"""A clock that moves only when told to, for tests and measurements."""

from datetime import UTC, datetime, timedelta

_EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class ManualClock:
    """Clock that stands still until it is advanced.

    Parameters
    ----------
    start : timedelta, default=timedelta(0)
        First monotonic reading.
    """

    __slots__ = ("_reading",)

    def __init__(self, start: timedelta = timedelta(0)):
        self._reading = start

    def now(self) -> timedelta:
        """Return the present reading."""
        return self._reading

    def wall(self) -> datetime:
        """Return the wall time that belongs to the present reading."""
        return _EPOCH + self._reading

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._reading += step
