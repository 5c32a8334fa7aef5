"""A store in memory that comes back from copies, for several clients."""

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
    """The store itself: rows by table and key."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 1
        self._copy = ({}, 0)

    def take_copy(self):
        self._copy = (dict(self.rows), self.version)

    def return_from_copy(self):
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
    """One process's client of it.

    ``fate`` is told of each write: "answered", "lost" (done, not answered), "late"
    (done by `carry_out`, not answered) or "failed".
    """

    def __init__(self, rows, era, fate=lambda: "answered"):
        self.rows = rows
        self.era = era
        self.fate = fate
        self.is_cut = False
        self.before_answer = lambda: None
        self._late = []

    async def read(self, table, part=""):
        if self.is_cut:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "cut")
        rows = self.rows.table(table)
        answer = FeedAnswer(rows, self.rows.version, 0.0, self.rows.era)
        self.era.accept_era(self.rows.era)
        self.before_answer()
        return answer

    async def follow(self, table, after, wait):
        if self.is_cut:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "cut")
        self.era.accept_era(self.rows.era)
        if after > self.rows.version:
            raise HistoryLost
        rows = [row for row in self.rows.table(table) if row.version > after]
        return FeedAnswer(rows, self.rows.version, 0.0, self.rows.era)

    async def write(self, conditions, puts, removals=()):
        fate = "failed" if self.is_cut else self.fate()
        call = (list(conditions), list(puts), list(removals))
        if fate == "late":
            self._late.append(call)
        if fate in ("late", "failed"):
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        try:
            revision = self.rows.apply(*call)
        except RowConflict:
            self.era.accept_era(self.rows.era)
            raise
        if fate == "lost":
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        self.era.accept_era(revision.era)
        return revision

    def carry_out(self):
        """Carry out the calls that were not answered, if their conditions hold."""
        late, self._late = self._late, []
        for call in late:
            try:
                self.rows.apply(*call)
            except RowConflict:
                pass
