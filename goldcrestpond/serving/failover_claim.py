"""Writes the claim to replace the leader of a service, which one instance may hold."""

import uuid
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum

import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from .commit_block import CommitBlock
from .failover import LATE_ORDER_LIMIT
from .row_fields import TimeMs
from .row_store import FeedAnswer, RowConflict, RowPut, RowRevision, RowStore, StoredRow
from .store_era import StoreEra

TABLE = "succession"
# No other instance claims the service for this time; a promotion takes a second.
CLAIM_LIFETIME = timedelta(milliseconds=3000)
# The claim's owner uses it only for this time, so it stops before another may claim.
CLAIM_USE_LIMIT = timedelta(milliseconds=2200)
ATTEMPTS_MAX = 3
# A token has the version in its low bits and the era above them. It stays small enough
# to be exact in a double.
_VERSION_BITS = 40
_MILLISECOND = timedelta(milliseconds=1)


class ClaimState(StrEnum):
    """What is known of a claim's attempt.

    A row without a state is from a release that wrote none.
    """

    UNKNOWN = ""
    # A promotion may have been ordered, and replicas may be paused.
    OPEN = "open"
    # No promotion is pending, but some replica may be paused.
    PAUSED = "paused"
    ENDED = "ended"


class ClaimBody(msgspec.Struct, frozen=True):
    """JSON value of a claim's row."""

    holder: str
    nonce: str
    former: str
    state: str = ClaimState.UNKNOWN
    # Time on the store's clock since when an order may be pending; 0 if unknown.
    pending_since_ms: TimeMs = 0.0


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
        Time before the claim was written.
    former : str
        Id of the leader that is replaced.
    pending_since_ms : float
        Time on the store's clock since when an order may be pending.
    """

    service: str
    revision: RowRevision
    claimed_at: timedelta
    former: str = ""
    pending_since_ms: float = 0.0

    @property
    def token(self) -> int:
        """Fencing token; rises with the version and with the era of the store."""
        return fencing_token(self.revision)

    def is_usable(self, now: timedelta, era: int) -> bool:
        """Return whether no other instance can have claimed the service since."""
        return era == self.revision.era and now - self.claimed_at < CLAIM_USE_LIMIT


@dataclass(frozen=True, slots=True)
class UnendedClaim:
    """A claim in the store of which something may be left.

    Attributes
    ----------
    block : CommitBlock
        The block of commits that belongs to it.
    may_be_pending : bool
        Whether a promotion may be pending. If not, only replicas may be paused.
    pending_since_ms : float
        Time on the store's clock since when one may be.
    """

    block: CommitBlock
    may_be_pending: bool
    pending_since_ms: float


_UNENDED = (ClaimState.OPEN, ClaimState.PAUSED)


def fencing_token(revision: RowRevision) -> int:
    """Return the fencing token of a revision."""
    return (revision.era << _VERSION_BITS) + revision.version


def token_era(token: int) -> int:
    """Return the era of the store in which a fencing token was drawn."""
    return token >> _VERSION_BITS


def claim_key(service: str, era: int) -> str:
    """Return the key of a claim's row.

    The key contains the era, since the store assigns the versions of an earlier era
    again: a condition on a version of an earlier era must not match a claim of the
    current one.
    """
    return f"{era}/{service}"


class ClaimWriter:
    """Claims services, unless another instance has a recent claim.

    Parameters
    ----------
    instance : str
        Name of this instance.
    store : RowStore
        The store.
    era : StoreEra
        Its era.
    clock : Clock
        Source of the time.
    """

    __slots__ = ("_clock", "_era", "_first_seen", "_instance", "_store")

    def __init__(self, instance: str, store: RowStore, era: StoreEra, clock: Clock):
        self._instance = instance
        self._store = store
        self._era = era
        self._clock = clock
        self._first_seen: dict[str, tuple[int, timedelta]] = {}

    async def claim(
        self,
        service: str,
        previous_leader_id: str,
        pending_since_ms: float | None = None,
    ) -> Claim | None:
        """Claim a service; return None if another instance holds it or may hold it.

        A claim of an earlier era may be lost from the store and still be in use.
        Therefore nothing is claimed until ``CLAIM_LIFETIME`` after an era began.

        Parameters
        ----------
        service : str
            The service.
        previous_leader_id : str
            Id of the leader that is replaced; empty if unknown.
        pending_since_ms : float or None
            Time on the store's clock since when an order of an earlier claim may be
            pending; None for now.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written.
        """
        nonces: set[str] = set()
        first_written_at: timedelta | None = None
        for _ in range(ATTEMPTS_MAX):
            answer = await self._store.read(TABLE)
            if self._is_era_young():
                return None
            row = _find_claim(answer, service)
            body = _decode_body(row)
            since_ms = answer.now_ms if pending_since_ms is None else pending_since_ms
            if body is not None and body.nonce in nonces:
                revision = RowRevision(answer.era, row.version)
                return Claim(
                    service, revision, first_written_at, previous_leader_id, since_ms
                )
            is_own = body is not None and body.holder == self._instance
            if row is not None and not is_own and self._is_claimed(service, row):
                return None
            nonce = uuid.uuid4().hex
            nonces.add(nonce)
            # Others count the time from when any of these writes was applied.
            first_written_at = first_written_at or self._clock.now()
            try:
                revision = await self._write(
                    service, answer, row, nonce, previous_leader_id, since_ms
                )
            except RowConflict as conflict:
                bodies = [(_decode_body(r), r) for r in conflict.rows]
                own_rows = [r for b, r in bodies if b is not None and b.nonce in nonces]
                if not own_rows:
                    return None
                revision = RowRevision(conflict.era, own_rows[0].version)
            except CodedError:
                continue  # it may have been written; read the row again
            if revision.era != answer.era:
                return None
            self._first_seen[service] = (revision.version, first_written_at)
            return Claim(
                service, revision, first_written_at, previous_leader_id, since_ms
            )
        detail = f"{service}: the claim was not answered"
        raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)

    async def renew(self, claim: Claim) -> Claim | None:
        """Claim a service again under a new token; None if another one has claimed it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written, or
            if it has come back from a copy since.
        """
        return await self._rewrite(claim, ClaimState.OPEN)

    async def close(self, claim: Claim, state: ClaimState) -> bool:
        """Record the end of an attempt; return False if another one has claimed it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written.
        """
        return await self._rewrite(claim, state) is not None

    async def _rewrite(self, claim: Claim, state: ClaimState) -> Claim | None:
        if self._era.current != claim.revision.era:
            detail = f"{claim.service}: the claim is of an earlier era of the store"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
        key = claim_key(claim.service, claim.revision.era)
        condition = StoredRow(TABLE, "", key, None, claim.revision.version)
        nonce = uuid.uuid4().hex
        body = ClaimBody(
            self._instance, nonce, claim.former, state, claim.pending_since_ms
        )
        put = RowPut(TABLE, "", key, msgspec.json.encode(body))
        written_at = self._clock.now()
        for _ in range(ATTEMPTS_MAX):
            try:
                revision = await self._store.write([condition], [put], [])
            except RowConflict as conflict:
                # An earlier try may have been applied without an answer.
                own = [r for r in conflict.rows if _decode_body(r) == body]
                if not own:
                    return None
                revision = RowRevision(conflict.era, own[0].version)
            except CodedError:
                continue
            if revision.era != claim.revision.era:
                return None
            self._first_seen[claim.service] = (revision.version, written_at)
            return replace(claim, revision=revision, claimed_at=written_at)
        detail = f"{claim.service}: the claim was not answered"
        raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)

    async def read_unended(self) -> dict[str, UnendedClaim]:
        """Return the claims of which something may be left, by service.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer.
        """
        answer = await self._store.read(TABLE)
        unended = {}
        for row in sorted(answer.rows, key=_get_era):
            body, service = _decode_body(row), _get_service(row)
            if _get_era(row) > answer.era:
                continue  # the store has not been in this era
            if _get_era(row) == answer.era:
                unended.pop(service, None)  # it has replaced those of earlier eras
            if body is None or body.state not in _UNENDED:
                continue
            self._is_claimed(service, row)  # from now on the claim's time counts
            token = fencing_token(RowRevision(_get_era(row), row.version))
            pending_for = (answer.now_ms - body.pending_since_ms) * _MILLISECOND
            is_recent = pending_for < CLAIM_USE_LIMIT + LATE_ORDER_LIMIT
            unended[service] = UnendedClaim(
                CommitBlock(service, token, body.former),
                body.state == ClaimState.OPEN and is_recent,
                body.pending_since_ms,
            )
        return unended

    def record_seen(self, service: str, token: int) -> None:
        """Record that another instance has claimed a service under a token.

        The time for which nobody else claims it then counts from when this instance
        was told, not from when it reads the row.
        """
        version = token & ((1 << _VERSION_BITS) - 1)
        if version > self._first_seen.get(service, (0, timedelta(0)))[0]:
            self._first_seen[service] = (version, self._clock.now())

    def _is_era_young(self) -> bool:
        began_at = self._era.began_at
        return began_at is not None and self._clock.now() - began_at < CLAIM_LIFETIME

    def _is_claimed(self, service: str, row: StoredRow) -> bool:
        now = self._clock.now()
        version, seen_at = self._first_seen.get(service, (0, now))
        if version != row.version:
            self._first_seen[service] = (row.version, now)
            return True
        return now - seen_at < CLAIM_LIFETIME

    async def _write(
        self,
        service: str,
        answer: FeedAnswer,
        row: StoredRow | None,
        nonce: str,
        previous_leader_id: str,
        pending_since_ms: float,
    ) -> RowRevision:
        key = claim_key(service, answer.era)
        version = 0 if row is None else row.version
        condition = StoredRow(TABLE, "", key, None, version)
        body = ClaimBody(
            self._instance,
            nonce,
            previous_leader_id,
            ClaimState.OPEN,
            pending_since_ms,
        )
        put = RowPut(TABLE, "", key, msgspec.json.encode(body))
        earlier = [
            r for r in answer.rows if r.key != key and _get_service(r) == service
        ]
        return await self._store.write([condition], [put], earlier)


def _get_era(row: StoredRow) -> int:
    era = row.key.partition("/")[0]
    return int(era) if era.isdecimal() else 0


def _get_service(row: StoredRow) -> str:
    return row.key.partition("/")[2]


def _find_claim(answer: FeedAnswer, service: str) -> StoredRow | None:
    key = claim_key(service, answer.era)
    return next((row for row in answer.rows if row.key == key), None)


def _decode_body(row: StoredRow | None) -> ClaimBody | None:
    if row is None or row.value is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=ClaimBody)
    except DECODE_ERRORS:
        return None  # a row that cannot be decoded is not a claim
