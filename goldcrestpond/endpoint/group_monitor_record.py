"""Keeps a group's record in the platform's table."""

import msgspec

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..store.platform import Platform
from ..store.platform_conflict import PlatformConflict
from ..term.issue_term import has_issued, issue_term, record_primary
from ..term.term_record import TermRecord
from ..term.term_start import TermStart

_KEY_PREFIX = "terms/"
_ATTEMPTS = 4  # each conflict shows the row that won; more are not expected


class GroupRecord:
    """The newest known record of a group and the writes to it.

    Parameters
    ----------
    group : str
        Name of the group.
    platform : Platform
        Holds the row.
    promoter : str
        Identity of this promoter, unique for each start of a process.
    """

    __slots__ = ("_key", "_platform", "_promoter", "_revision", "_used_term", "record")

    def __init__(self, group: str, platform: Platform, promoter: str):
        self._key = _KEY_PREFIX + group
        self._platform = platform
        self._promoter = promoter
        self._revision = 0
        self._used_term = 0
        self.record: TermRecord | None = None

    def held_term(self, highest_seen_term: int) -> int:
        """Return a term issued to this promoter and not used yet, or 0."""
        record = self.record
        if record is None or record.issued_to != self._promoter:
            return 0
        floor = max(highest_seen_term, self._used_term)
        return record.issued_term if record.issued_term > floor else 0

    def use(self, term: int) -> None:
        """Mark a held term as used: each attempt takes a term of its own."""
        self._used_term = max(self._used_term, term)

    async def refresh(self) -> None:
        """Read the row.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if no answer came.
        """
        row = await self._platform.read(self._key)
        if row is not None:
            self._take(row.value, row.revision)

    async def issue(self, highest_seen_term: int) -> int:
        """Have the next free term issued to this promoter and return it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if no answer came; PLATFORM_CONFLICT if other
            writers won each attempt.
        """
        for _ in range(_ATTEMPTS):
            wanted = issue_term(self.record, highest_seen_term, self._promoter)
            await self._write(wanted)
            if has_issued(self.record, wanted.issued_term, self._promoter):
                return wanted.issued_term
        raise CodedError(ResultCode.PLATFORM_CONFLICT, self._key)

    async def establish(self, primary: str, start: TermStart) -> None:
        """Record a primary and where its term began, if that is news.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if no answer came.
        """
        for _ in range(_ATTEMPTS):
            wanted = record_primary(self.record, primary, start)
            if wanted is None:
                return
            await self._write(wanted)

    async def _write(self, wanted: TermRecord) -> None:
        """Write on the condition of the known revision, then know what stands.

        An answer may be lost after the write took effect, or the write may
        take effect later: repeating it meets the own row as a conflict.
        """
        value = msgspec.json.encode(wanted)
        for attempt in range(_ATTEMPTS):
            try:
                revision = await self._platform.put(self._key, value, self._revision)
            except PlatformConflict as conflict:
                self._take_conflict(conflict)
                return
            except CodedError:
                if attempt == _ATTEMPTS - 1:
                    raise
            else:
                self._take(value, revision)
                return

    def _take_conflict(self, conflict: PlatformConflict) -> None:
        for row in conflict.rows:
            if row.key == self._key:
                self._take(row.value, row.revision)

    def _take(self, value: bytes | None, revision: int) -> None:
        if value is None:
            self._revision = 0
            self.record = None
        elif revision >= self._revision:
            self._revision = revision
            self.record = msgspec.json.decode(value, type=TermRecord)
