"""An in-memory store that can be restored from a copy, for several clients."""

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.row_store import (
    FeedAnswer,
    HistoryLost,
    RowConflict,
    RowRevision,
    StoredRow,
)


class FakeRows:
    """The rows of the store, by table and key."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self.now_ms = 0.0
        self._copy = ({}, 0)

    def save_snapshot(self):
        self._copy = (dict(self.rows), self.version)

    def restore_copy(self):
        rows, self.version = self._copy
        self.rows = dict(rows)
        self.era += 1

    def put(self, table, key, value):
        self.version += 1
        self.rows[table, key] = (value, self.version)

    def apply(self, conditions, puts, removals):
        present = [self.row(c.table, c.key) for c in conditions]
        pairs = zip(conditions, present, strict=True)
        if any(condition.version != row.version for condition, row in pairs):
            raise RowConflict([r for r in present if r.value is not None], self.era)
        self.version += 1
        for put in puts:
            self.rows[put.table, put.key] = (put.value, self.version)
        for removal in removals:
            self.rows.pop((removal.table, removal.key), None)
        return RowRevision(self.era, self.version)

    def row(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        return StoredRow(table, "", key, value, version)

    def table(self, table):
        return [self.row(*key) for key in sorted(self.rows) if key[0] == table]


class FakeRowStore:
    """One process's client of the store.

    ``next_outcome`` returns the outcome of each write: "answered", "lost" (applied,
    but not answered), "late" (applied by `apply_late_writes`, not answered) or
    "failed".
    """

    def __init__(self, rows, era, next_outcome=lambda: "answered"):
        self.rows = rows
        self.era = era
        self.next_outcome = next_outcome
        self.is_cut = False
        self.before_answer = lambda: None
        self._late_writes = []

    async def read(self, table, part=""):
        if self.is_cut:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "cut")
        rows = self.rows.table(table)
        answer = FeedAnswer(rows, self.rows.version, self.rows.now_ms, self.rows.era)
        self.era.accept_era(self.rows.era)
        self.before_answer()
        return answer

    async def wait_for_changes(self, table, after, wait):
        if self.is_cut:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "cut")
        self.era.accept_era(self.rows.era)
        if after > self.rows.version:
            raise HistoryLost
        rows = [row for row in self.rows.table(table) if row.version > after]
        return FeedAnswer(rows, self.rows.version, self.rows.now_ms, self.rows.era)

    async def write(self, conditions, puts, removals=()):
        outcome = "failed" if self.is_cut else self.next_outcome()
        call = (list(conditions), list(puts), list(removals))
        if outcome == "late":
            self._late_writes.append(call)
        if outcome in ("late", "failed"):
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        try:
            revision = self.rows.apply(*call)
        except RowConflict:
            self.era.accept_era(self.rows.era)
            raise
        if outcome == "lost":
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        self.era.accept_era(revision.era)
        return revision

    def apply_late_writes(self):
        """Apply the late writes whose conditions are still met."""
        late, self._late_writes = self._late_writes, []
        for call in late:
            try:
                self.rows.apply(*call)
            except RowConflict:
                pass
