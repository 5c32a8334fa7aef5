"""Rows of a table by when their last change was heard."""

from collections.abc import Sequence
from datetime import timedelta

from .row_store import StoredRow


class HeardRows:
    """Rows that count only for a while after they were written.

    Ages are taken on this process's own clock, from when a change was heard.
    """

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard: dict[str, tuple[StoredRow, timedelta]] = {}

    def replace(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in all rows."""
        keys = {row.key for row in rows}
        for key in self._heard.keys() - keys:
            del self._heard[key]
        self.update(rows, now)

    def update(self, rows: Sequence[StoredRow], now: timedelta) -> None:
        """Take in changed rows, removed ones with the value None."""
        for row in rows:
            known = self._heard.get(row.key)
            if row.value is None:
                self._heard.pop(row.key, None)
            elif known is None or known[0].version != row.version:
                self._heard[row.key] = (row, now)

    def fresh(self, now: timedelta, lifetime: timedelta) -> list[StoredRow]:
        """Return the rows whose last change was heard within a time."""
        return [row for row, at in self._heard.values() if now - at < lifetime]
