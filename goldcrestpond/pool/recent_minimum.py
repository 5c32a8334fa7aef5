"""Minimum of a quantity over a recent time."""

from datetime import timedelta


class RecentMinimum:
    """Least value of the last one to two spans, in constant memory.

    Parameters
    ----------
    span : timedelta
        A value is forgotten after one to two of these.
    """

    __slots__ = ("_current", "_former", "_since", "_span")

    def __init__(self, span: timedelta):
        self._span = span
        self._since: timedelta | None = None
        self._current = timedelta.max
        self._former = timedelta.max

    def add(self, value: timedelta, now: timedelta) -> timedelta:
        """Add a value; return the minimum."""
        if self._since is None:
            self._since = now
        elif now - self._since >= self._span:
            is_former_recent = now - self._since < 2 * self._span
            self._former = self._current if is_former_recent else timedelta.max
            self._current = timedelta.max
            self._since = now
        self._current = min(self._current, value)
        return min(self._current, self._former)
