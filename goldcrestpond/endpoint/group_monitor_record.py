"""Reads and writes a group's record in the platform's table."""

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..store.platform import Platform
from ..store.platform_conflict import PlatformConflict
from ..term.issue_term import has_issued, issue_term, record_primary
from ..term.term_record import TermRecord
from ..term.term_start import TermStart

_KEY_PREFIX = "terms/"
_MAX_ATTEMPTS = 4  # each conflict returns the current row for the next attempt


class GroupRecord:
    """The newest known record of a group, and conditional writes to it.

    Attributes
    ----------
    record : TermRecord or None
        The newest known record; None if none is known.

    Parameters
    ----------
    group : str
        Name of the group.
    platform : Platform
        Client of the platform's table.
    promoter : str
        Identity of this promoter; differs after each restart of the process.
    """

    __slots__ = ("_key", "_platform", "_promoter", "_revision", "_used_term", "record")

    def __init__(self, group: str, platform: Platform, promoter: str):
        self._key = _KEY_PREFIX + group
        self._platform = platform
        self._promoter = promoter
        self._revision = 0
        self._used_term = 0
        self.record: TermRecord | None = None

    def unused_term(self, highest_seen_term: int) -> int:
        """Return a term that was issued to this promoter and is not used yet, or 0.

        Parameters
        ----------
        highest_seen_term : int
            Highest term that a database has joined; this one and lower ones count as
            used.
        """
        record = self.record
        if record is None or record.issued_to != self._promoter:
            return 0
        highest_used_term = max(highest_seen_term, self._used_term)
        return record.issued_term if record.issued_term > highest_used_term else 0

    def mark_used(self, term: int) -> None:
        """Mark a term as used, since each promotion attempt needs a new term."""
        self._used_term = max(self._used_term, term)

    async def refresh(self) -> None:
        """Read the row.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the platform did not answer, or not readably.
        """
        row = await self._platform.read(self._key)
        if row is not None:
            self._store(row.value, row.revision)

    async def issue_next_term(self, highest_seen_term: int) -> int:
        """Issue the next free term to this promoter and return it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the platform did not answer; PLATFORM_CONFLICT if
            every attempt conflicted with another write.
        """
        for _ in range(_MAX_ATTEMPTS):
            new_record = issue_term(self.record, highest_seen_term, self._promoter)
            await self._write(new_record)
            if has_issued(self.record, new_record.issued_term, self._promoter):
                return new_record.issued_term
        raise CodedError(ResultCode.PLATFORM_CONFLICT, self._key)

    async def write_primary(self, primary: str, start: TermStart) -> None:
        """Write a primary and the start of its term, unless the record has them.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the platform did not answer.
        """
        for _ in range(_MAX_ATTEMPTS):
            new_record = record_primary(self.record, primary, start)
            if new_record is None:
                return
            await self._write(new_record)

    async def _write(self, new_record: TermRecord) -> None:
        """Write the row if it still has the known revision; store the current row.

        If an answer is lost, the write may have taken effect or do so later. It is
        repeated, which then conflicts with the row that the first write left.
        """
        value = msgspec.json.encode(new_record)
        for attempt in range(_MAX_ATTEMPTS):
            try:
                revision = await self._platform.put(self._key, value, self._revision)
            except PlatformConflict as conflict:
                self._store_conflicting_row(conflict)
                return
            except CodedError:
                if attempt == _MAX_ATTEMPTS - 1:
                    raise
            else:
                self._store(value, revision)
                return

    def _store_conflicting_row(self, conflict: PlatformConflict) -> None:
        for row in conflict.rows:
            if row.key == self._key:
                self._store(row.value, row.revision)

    def _store(self, value: bytes | None, revision: int) -> None:
        if value is None:
            self._revision = 0
            self.record = None
        elif revision >= self._revision:
            try:
                self.record = msgspec.json.decode(value, type=TermRecord)
            except DECODE_ERRORS as error:
                # It may have issued terms that must not be issued again.
                detail = f"{self._key} is unreadable: {error}"
                raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error
            self._revision = revision
