"""Rows of a store table that expire unless their writer changes them."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from .row_store import StoredRow

# Returns the store's era that the writer of a row put into it.
ReadEra = Callable[[StoredRow], int]


def make_era_reader(body_type: type[msgspec.Struct]) -> ReadEra:
    """Return a function that reads the era of rows whose body has a field ``era``.

    It returns 0 for a body that cannot be decoded, so that such a row counts as one
    of an earlier era.
    """

    def read_era(row: StoredRow) -> int:
        try:
            return msgspec.json.decode(row.value, type=body_type).era
        except DECODE_ERRORS:
            return 0

    return read_era


class ExpiringRows:
    """Rows that are valid for a limited time after their last change.

    The age of a row counts on this process's clock from when its last change was
    read. The era of the store rises when the store was restored from a copy. A row
    that names an earlier era comes from that copy: it may be older than what was
    read before, and rows that the copy lacks may have been written after it was taken.

    Parameters
    ----------
    lifetime : timedelta
        How long a row is valid after its last change.
    copied_lifetime : timedelta
        How long a row of an earlier era is valid that was not known before.
    read_era : callable
        Returns the era that a row names.
    """

    __slots__ = ("_copied_lifetime", "_lifetime", "_read_era", "_rows")

    def __init__(
        self, lifetime: timedelta, copied_lifetime: timedelta, read_era: ReadEra
    ):
        self._lifetime = lifetime
        self._copied_lifetime = copied_lifetime
        self._read_era = read_era
        self._rows: dict[str, tuple[StoredRow, timedelta]] = {}

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Replace the rows by all rows that the store has in ``era``.

        Rows that the store lacks are kept if they were written in an earlier era.
        """
        keys = {row.key for row in rows}
        for key, (row, _) in list(self._rows.items()):
            if key not in keys and self._read_era(row) >= era:
                del self._rows[key]
        self.update(rows, now, era)

    def update(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Apply changed rows; the value of a removed one is None."""
        for row in rows:
            known = self._rows.get(row.key)
            if row.value is None:
                self._rows.pop(row.key, None)
            elif self._read_era(row) < era:
                if known is None:
                    changed_at = now - self._lifetime + self._copied_lifetime
                    self._rows[row.key] = (row, changed_at)
            elif known is None or self._is_change(known[0], row):
                self._rows[row.key] = (row, now)

    def unexpired(self, now: timedelta) -> list[StoredRow]:
        """Return the rows that have not expired."""
        return [row for row, at in self._rows.values() if now - at < self._lifetime]

    def unchanged_for(self, span: timedelta, now: timedelta) -> list[StoredRow]:
        """Return the rows that have not changed for a time."""
        return [row for row, at in self._rows.values() if now - at >= span]

    def _is_change(self, known: StoredRow, row: StoredRow) -> bool:
        # A later era reuses versions of the earlier ones.
        known_revision = (self._read_era(known), known.version)
        return known_revision != (self._read_era(row), row.version)
