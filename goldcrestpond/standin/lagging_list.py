"""Instance list of the platform stand-in, which shows changes with a delay."""

from datetime import timedelta

from ..store.instance_entry import InstanceEntry


class LaggingList:
    """Instance list whose changes become visible after a lag.

    Parameters
    ----------
    entries : list of InstanceEntry
        The list at start.
    lag : timedelta
        Time after which a change becomes visible.
    """

    __slots__ = ("_lag", "_pending", "_visible")

    def __init__(self, entries: list[InstanceEntry], lag: timedelta):
        self._lag = lag
        self._visible = entries
        self._pending: list[tuple[timedelta, list[InstanceEntry]]] = []

    def replace(self, entries: list[InstanceEntry], now: timedelta) -> None:
        """Replace the list; the new one becomes visible after the lag."""
        self._pending.append((now + self._lag, entries))

    def read(self, now: timedelta) -> list[InstanceEntry]:
        """Return the list that is visible at ``now``."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.pop(0)[1]
        return self._visible
