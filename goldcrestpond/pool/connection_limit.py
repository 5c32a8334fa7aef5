"""How many connections this instance may hold to one database."""

from datetime import timedelta


class ConnectionLimit:
    """The granted share, lowered while the endpoint refuses more.

    Parameters
    ----------
    share : int
        Connections granted to this instance.
    growth : timedelta
        After a refusal, the estimate rises by one connection per this time.
    """

    __slots__ = ("_estimate", "_estimate_at", "_growth", "_share")

    def __init__(self, share: int, growth: timedelta):
        self._share = share
        self._growth = growth
        self._estimate: int | None = None
        self._estimate_at = timedelta(0)

    def set_share(self, share: int) -> None:
        """Take a newly granted share."""
        self._share = share

    def refused(self, open_count: int, now: timedelta) -> None:
        """Lower the estimate: the endpoint took ``open_count`` and no more."""
        self._estimate = max(1, open_count)
        self._estimate_at = now

    def current(self, now: timedelta) -> int:
        """Return how many connections may be open now."""
        if self._estimate is None:
            return self._share
        grown = self._estimate + (now - self._estimate_at) // self._growth
        if grown >= self._share:
            self._estimate = None
            return self._share
        return grown
