"""Port to the platform's store: versioned rows, conditional writes and a feed."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple, Protocol

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row, or a condition on one.

    Attributes
    ----------
    table, part, key : str
        Its table, the part of the table, and its key there.
    value : bytes or None
        Its value; None if it was removed, and in conditions.
    version : int
        Version of its last change. In a condition, the version that the row must
        have; 0 if it must not exist.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowPut:
    """The new value of a row."""

    table: str
    part: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class FeedAnswer:
    """All rows at one moment, or those that changed after a version.

    Attributes
    ----------
    rows : list of StoredRow
        The rows; changed ones in the order of their changes.
    version : int
        Version after which to read the next changes.
    now_ms : float
        Time on the store's monotonic clock.
    era : int
        Era of the store that answered; versions of different eras cannot be compared.
    """

    rows: list[StoredRow]
    version: int
    now_ms: float
    era: int = 0


class RowRevision(NamedTuple):
    """Revision of a write; revisions are ordered over all eras of the store.

    Attributes
    ----------
    era : int
        Era of the store that applied the write.
    version : int
        Version of the written rows within it.
    """

    era: int
    version: int


class RowConflict(CodedError):
    """A condition of a write was not met; nothing was written.

    Parameters
    ----------
    rows : list of StoredRow
        Current rows of the conditions.
    era : int
        Era of the store that answered.
    """

    __slots__ = ("era", "rows")

    def __init__(self, rows: list[StoredRow], era: int = 0):
        keys = ", ".join(row.key for row in rows)
        super().__init__(ResultCode.PLATFORM_CONFLICT, f"rows were changed: {keys}")
        self.rows = rows
        self.era = era


class HistoryLost(CodedError):
    """The store no longer has the changes after a version; read all rows instead."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.PLATFORM_UNAVAILABLE,
            "old changes are no longer kept",
        )


class RowStore(Protocol):
    """Rows whose versions come from one counter.

    Every method raises ``CodedError`` with PLATFORM_UNAVAILABLE if there is no
    answer, or one of an earlier era. A write may have been applied then, or may be
    applied later.
    """

    async def read(self, table: str, part: str = "") -> FeedAnswer:
        """Return all rows of a part."""

    async def wait_for_changes(
        self, table: str, after: int, wait: timedelta
    ) -> FeedAnswer:
        """Return the rows of a table that changed; wait up to ``wait`` for a change.

        Raises
        ------
        HistoryLost
            If the store no longer has all changes after the version ``after``.
        """

    async def write(
        self,
        conditions: Sequence[StoredRow],
        puts: Sequence[RowPut],
        removals: Sequence[StoredRow] = (),
    ) -> RowRevision:
        """Apply all puts and removals, or none; return the revision of the rows.

        Raises
        ------
        RowConflict
            If a condition was not met.
        """
