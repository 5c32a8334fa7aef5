"""The stand-in's instance list, which shows changes late."""

from datetime import timedelta

from ..store.instance_entry import InstanceEntry


class LaggingList:
    """Instance list whose readers see each change after a lag.

    Parameters
    ----------
    entries : list of InstanceEntry
        The list at start.
    lag : timedelta
        Time after which a change is seen.
    """

    __slots__ = ("_lag", "_pending", "_seen")

    def __init__(self, entries: list[InstanceEntry], lag: timedelta):
        self._lag = lag
        self._seen = entries
        self._pending: list[tuple[timedelta, list[InstanceEntry]]] = []

    def replace(self, entries: list[InstanceEntry], now: timedelta) -> None:
        """Replace the list; readers see it after the lag."""
        self._pending.append((now + self._lag, entries))

    def read(self, now: timedelta) -> list[InstanceEntry]:
        """Return the list that readers see."""
        while self._pending and self._pending[0][0] <= now:
            self._seen = self._pending.pop(0)[1]
        return self._seen
