"""Which instances are live, by the rows that they write."""

from collections.abc import Sequence
from datetime import timedelta

from .row_store import StoredRow

TABLE = "member"
HEARTBEAT = timedelta(seconds=8)
# A member is live until so many heartbeats in a row are missing.
MISSED_HEARTBEATS = 3


class Members:
    """Members by the last change of their rows.

    Ages are taken on this process's own clock, from when a change was heard.
    """

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard: dict[str, tuple[int, timedelta]] = {}

    def replace(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in all rows."""
        keys = {row.key for row in rows}
        for key in self._heard.keys() - keys:
            del self._heard[key]
        self.update(rows, now)

    def update(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in changed rows."""
        for row in rows:
            if row.value is None:
                self._heard.pop(row.key, None)
            elif row.key not in self._heard or self._heard[row.key][0] != row.version:
                self._heard[row.key] = (row.version, now)

    def live(self, now: timedelta) -> list[str]:
        """Return the names of live members."""
        limit = HEARTBEAT * MISSED_HEARTBEATS
        return [name for name, (_, at) in self._heard.items() if now - at < limit]
