"""The claim to replace the leader of one service (shell)."""

import uuid
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..errors.undecodable import UNDECODABLE
from .row_store import FeedAnswer, RowConflict, RowPut, RowRevision, RowStore, StoredRow
from .store_era import StoreEra

TABLE = "succession"
# Nobody else claims for this time; a promotion takes a second.
CLAIM_LIFETIME = timedelta(milliseconds=3000)
# A holder gives up before another one may claim.
CLAIM_USE_LIMIT = timedelta(milliseconds=2200)
ATTEMPTS_MAX = 3
# A token holds the version below the era; both stay exact in a double.
_VERSION_BITS = 40


class ClaimBody(msgspec.Struct, frozen=True):
    """Value of a claim's row."""

    holder: str
    nonce: str
    former: str


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim that this instance holds.

    Attributes
    ----------
    service : str
        Service whose leader is replaced.
    revision : RowRevision
        Era and version of the claim's row.
    claimed_at : timedelta
        Reading before the claim was written.
    """

    service: str
    revision: RowRevision
    claimed_at: timedelta

    @property
    def token(self) -> int:
        """Fencing token: rises with versions, and over eras of the store."""
        return fencing_token(self.revision)

    def is_usable(self, now: timedelta, era: int) -> bool:
        """Return whether no other instance may have claimed since."""
        return era == self.revision.era and now - self.claimed_at < CLAIM_USE_LIMIT


def fencing_token(revision: RowRevision) -> int:
    """Return the number that a revision is as a fencing token."""
    return (revision.era << _VERSION_BITS) + revision.version


def claim_key(service: str, era: int) -> str:
    """Return the key of a claim's row.

    Each era has its own: a condition on a version of a former era meets no claim of
    the present one, though the version may have been given out again.
    """
    return f"{era}/{service}"


class ClaimWriter:
    """Claims services under the condition that nobody has done so lately.

    Parameters
    ----------
    instance : str
        Name of this instance.
    store : RowStore
        The store.
    era : StoreEra
        Its era.
    clock : Clock
        Source of readings.
    """

    __slots__ = ("_clock", "_era", "_instance", "_seen", "_store")

    def __init__(self, instance: str, store: RowStore, era: StoreEra, clock: Clock):
        self._instance = instance
        self._store = store
        self._era = era
        self._clock = clock
        self._seen: dict[str, tuple[int, timedelta]] = {}

    async def claim(self, service: str, former: str) -> Claim | None:
        """Claim a service; None if another instance holds it, or may hold it.

        A claim of a former era may be gone from the store and still in use: nothing
        is claimed until its time is over.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store does not say.
        """
        nonces: set[str] = set()
        for _ in range(ATTEMPTS_MAX):
            answer = await self._store.read(TABLE)
            if self._is_era_young():
                return None
            row = _find(answer, service)
            body = _body(row)
            if body is not None and body.nonce in nonces:
                revision = RowRevision(answer.era, row.version)
                return Claim(service, revision, self._clock.now())
            is_own = body is not None and body.holder == self._instance
            if row is not None and not is_own and self._is_held(service, row):
                return None
            nonce = uuid.uuid4().hex
            nonces.add(nonce)
            claimed_at = self._clock.now()
            try:
                revision = await self._write(service, answer, row, nonce, former)
            except RowConflict as conflict:
                bodies = [(_body(r), r) for r in conflict.rows]
                mine = [r for b, r in bodies if b is not None and b.nonce in nonces]
                if not mine:
                    return None
                revision = RowRevision(conflict.era, mine[0].version)
            except CodedError:
                continue  # it may have been written: the row tells
            if revision.era != answer.era:
                return None
            self._seen[service] = (revision.version, claimed_at)
            return Claim(service, revision, claimed_at)
        detail = f"{service}: the claim was not answered"
        raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)

    def _is_era_young(self) -> bool:
        began_at = self._era.began_at
        return began_at is not None and self._clock.now() - began_at < CLAIM_LIFETIME

    def _is_held(self, service: str, row: StoredRow) -> bool:
        now = self._clock.now()
        version, seen_at = self._seen.get(service, (0, now))
        if version != row.version:
            self._seen[service] = (row.version, now)
            return True
        return now - seen_at < CLAIM_LIFETIME

    async def _write(
        self,
        service: str,
        answer: FeedAnswer,
        row: StoredRow | None,
        nonce: str,
        former: str,
    ) -> RowRevision:
        key = claim_key(service, answer.era)
        version = 0 if row is None else row.version
        condition = StoredRow(TABLE, "", key, None, version)
        body = ClaimBody(self._instance, nonce, former)
        put = RowPut(TABLE, "", key, msgspec.json.encode(body))
        copies = [r for r in answer.rows if r.key != key and _service(r) == service]
        return await self._store.write([condition], [put], copies)


def _service(row: StoredRow) -> str:
    return row.key.partition("/")[2]


def _find(answer: FeedAnswer, service: str) -> StoredRow | None:
    key = claim_key(service, answer.era)
    return next((row for row in answer.rows if row.key == key), None)


def _body(row: StoredRow | None) -> ClaimBody | None:
    if row is None or row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=ClaimBody)
    except UNDECODABLE:
        return None  # a row of another writer is nobody's claim
