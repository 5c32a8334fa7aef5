"""Limit of the connections that this instance may have open to one database."""

from datetime import timedelta


class ConnectionLimit:
    """The granted share, lowered for a time after the endpoint refused a connection.

    Parameters
    ----------
    share : int
        Number of connections granted to this instance.
    growth_interval : timedelta
        After a refusal, the limit rises by one connection per this time until it
        reaches the share again.
    """

    __slots__ = ("_estimate", "_estimate_at", "_growth_interval", "_share")

    def __init__(self, share: int, growth_interval: timedelta):
        self._share = share
        self._growth_interval = growth_interval
        self._estimate: int | None = None
        self._estimate_at = timedelta(0)

    def set_share(self, share: int) -> None:
        """Set the granted share."""
        self._share = share

    def record_refusal(self, open_count: int, now: timedelta) -> None:
        """Lower the limit to the number of connections that the endpoint accepts.

        Parameters
        ----------
        open_count : int
            Connections that are open while the endpoint refuses another one.
        now : timedelta
            Monotonic time.
        """
        self._estimate = max(1, open_count)
        self._estimate_at = now

    def current(self, now: timedelta) -> int:
        """Return the number of connections that may be open now."""
        if self._estimate is None:
            return self._share
        grown = self._estimate + (now - self._estimate_at) // self._growth_interval
        if grown >= self._share:
            self._estimate = None
            return self._share
        return grown
