"""Table of the platform stand-in: rows, tombstones and one global revision."""

from bisect import bisect_right
from collections.abc import Sequence

from ..store.changes import Changes
from ..store.condition import Condition
from ..store.platform_conflict import PlatformConflict
from ..store.row import Row
from ..store.write import Write


class Table:
    """Rows with conditional writes; deleted rows are kept as tombstones."""

    __slots__ = ("_log", "_rows", "revision")

    def __init__(self) -> None:
        self.revision = 0
        self._rows: dict[str, Row] = {}
        self._log: list[tuple[int, str]] = []

    def read(self, key: str) -> Row:
        """Return the row of a key; a missing one has revision 0."""
        row = self._rows.get(key)
        if row is None or row.value is None:
            return Row(key, None, 0)
        return row

    def batch(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        """Write all rows, or none if a condition fails; return the last revision.

        Raises
        ------
        PlatformConflict
            If a row's revision differs from that of its condition.
        """
        current_rows = [
            (self.read(condition.key), condition) for condition in conditions
        ]
        differing = [
            row for row, condition in current_rows if row.revision != condition.revision
        ]
        if differing:
            raise PlatformConflict(differing)
        for write in writes:
            self._apply(write)
        return self.revision

    def changes(self, prefix: str, after_revision: int, limit: int) -> Changes:
        """Return up to ``limit`` rows under a prefix that changed after a revision."""
        start = bisect_right(self._log, after_revision, key=lambda entry: entry[0])
        rows: list[Row] = []
        for revision, key in self._log[start:]:
            row = self._rows[key]
            if row.revision != revision or not key.startswith(prefix):
                continue
            rows.append(row)
            if len(rows) == limit:
                return Changes(revision, rows, is_last=False)
        return Changes(self.revision, rows, is_last=True)

    def _apply(self, write: Write) -> None:
        self.revision += 1
        self._rows[write.key] = Row(write.key, write.value, self.revision)
        self._log.append((self.revision, write.key))
        if len(self._log) > 2 * len(self._rows) + 64:
            self._log = sorted((row.revision, row.key) for row in self._rows.values())
