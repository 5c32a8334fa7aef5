"""Minimum of a quantity over a recent time."""

from datetime import timedelta


class RecentMinimum:
    """Least value of at least the last span and at most the last two.

    Takes constant memory.

    Parameters
    ----------
    span : timedelta
        The span.
    """

    __slots__ = ("_current", "_former", "_former_since", "_since", "_span")

    def __init__(self, span: timedelta):
        self._span = span
        self._since: timedelta | None = None
        self._former_since = timedelta(0)
        self._current = timedelta.max
        self._former = timedelta.max

    def add(self, value: timedelta, now: timedelta) -> timedelta:
        """Add a value; return the minimum."""
        if self._since is None:
            self._since = now
        elif now - self._since >= self._span:
            self._former, self._former_since = self._current, self._since
            self._current, self._since = timedelta.max, now
        self._current = min(self._current, value)
        if now - self._former_since >= 2 * self._span:
            return self._current
        return min(self._current, self._former)
