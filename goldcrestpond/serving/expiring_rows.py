"""Rows of a table by when their last change was heard."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from ..errors.undecodable import UNDECODABLE
from .row_store import StoredRow

# Returns the era of the store in which the writer of a row believed.
ReadEra = Callable[[StoredRow], int]


def make_era_reader(body_type: type[msgspec.Struct]) -> ReadEra:
    """Return how to tell the era of rows whose bodies have a field ``era``.

    One that cannot be read counts as one of a copy: it proves nothing new.
    """

    def era_of(row: StoredRow) -> int:
        try:
            return msgspec.json.decode(row.value, type=body_type).era
        except UNDECODABLE:
            return 0

    return era_of


class ExpiringRows:
    """Rows that count only for a while after they were written.

    Ages are taken on this process's own clock, from when a change was heard. A row of
    a former era lies in a store that came back from a copy: it may be older than what
    was heard before, and what it lacks may have been written since.

    Parameters
    ----------
    lifetime : timedelta
        How long a row counts without a change.
    copied_lifetime : timedelta
        How long one of a former era counts that was not known before.
    era_of : callable
        Returns the era that a row names.
    """

    __slots__ = ("_copied_lifetime", "_era_of", "_heard", "_lifetime")

    def __init__(
        self, lifetime: timedelta, copied_lifetime: timedelta, era_of: ReadEra
    ):
        self._lifetime = lifetime
        self._copied_lifetime = copied_lifetime
        self._era_of = era_of
        self._heard: dict[str, tuple[StoredRow, timedelta]] = {}

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Take in all rows of a store in an era."""
        keys = {row.key for row in rows}
        for key, (row, _) in list(self._heard.items()):
            if key not in keys and self._era_of(row) >= era:
                del self._heard[key]
        self.update(rows, now, era)

    def update(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Take in changed rows, removed ones with the value None."""
        for row in rows:
            known = self._heard.get(row.key)
            if row.value is None:
                self._heard.pop(row.key, None)
            elif self._era_of(row) < era:
                if known is None:
                    heard_at = now - self._lifetime + self._copied_lifetime
                    self._heard[row.key] = (row, heard_at)
            elif known is None or self._is_change(known[0], row):
                self._heard[row.key] = (row, now)

    def fresh(self, now: timedelta) -> list[StoredRow]:
        """Return the rows that still count."""
        return [row for row, at in self._heard.values() if now - at < self._lifetime]

    def _is_change(self, known: StoredRow, row: StoredRow) -> bool:
        # Versions are given out again in the next era.
        known_revision = (self._era_of(known), known.version)
        return known_revision != (self._era_of(row), row.version)
