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
from .leftovers import CLAIM_USE_LIMIT, NOTHING_LEFT, Leftovers
from .row_fields import TimeMs
from .row_store import FeedAnswer, RowConflict, RowPut, RowRevision, RowStore, StoredRow
from .store_era import StoreEra

TABLE = "succession"
# No other instance claims the service for this time; a promotion takes a second.
CLAIM_LIFETIME = timedelta(milliseconds=3000)
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
    # Time on the store's clock of the last claim under which an order may be pending; 0
    # if unknown.
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
    claimed_ms : float
        Upper limit of the store's time at ``claimed_at``.
    left : Leftovers
        What may be left of the claims that it has replaced, and of its own attempt
        once that has ended.
    """

    service: str
    revision: RowRevision
    claimed_at: timedelta
    former: str = ""
    claimed_ms: float = 0.0
    left: Leftovers = NOTHING_LEFT

    @property
    def token(self) -> int:
        """Fencing token; rises with the version and with the era of the store."""
        return fencing_token(self.revision)

    def is_usable(self, now: timedelta, era: int) -> bool:
        """Return whether no other instance can have claimed the service since."""
        return era == self.revision.era and now - self.claimed_at < CLAIM_USE_LIMIT

    def with_order_pending(self) -> "Claim":
        """Return the claim with a promotion left that was ordered under it."""
        left = self.left | Leftovers(self.claimed_ms, may_be_paused=False)
        return replace(self, left=left)


@dataclass(frozen=True, slots=True)
class UnendedClaim:
    """A claim in the store of which something may be left.

    Attributes
    ----------
    block : CommitBlock
        The block of commits that belongs to it.
    left : Leftovers
        What may be left.
    """

    block: CommitBlock
    left: Leftovers


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

    async def claim(self, service: str, previous_leader_id: str) -> Claim | None:
        """Claim a service; return None if another instance holds it or may hold it.

        The claim takes over what may be left of the claims that it replaces, those of
        earlier eras and of this instance included: nobody else will know of it.

        A claim of an earlier era may be lost from the store and still be in use.
        Therefore nothing is claimed until ``CLAIM_LIFETIME`` after an era began.

        Parameters
        ----------
        service : str
            The service.
        previous_leader_id : str
            Id of the leader that is replaced; empty if unknown.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written.
        """
        nonces: set[str] = set()
        first_written_at: timedelta | None = None
        draft: Claim | None = None
        for _ in range(ATTEMPTS_MAX):
            asked_at = self._clock.now()
            answer = await self._store.read(TABLE)
            if self._is_era_young():
                return None
            row = _find_claim(answer, service)
            body = _decode_body(row)
            if body is not None and body.nonce in nonces:
                return replace(draft, revision=RowRevision(answer.era, row.version))
            is_own = body is not None and body.holder == self._instance
            if row is not None and not is_own and self._is_claimed(service, row):
                return None
            nonce = uuid.uuid4().hex
            nonces.add(nonce)
            now = self._clock.now()
            # Others count the time from when any of these writes was applied.
            first_written_at = first_written_at or now
            draft = Claim(
                service,
                RowRevision(answer.era, 0),
                first_written_at,
                previous_leader_id,
                answer.now_ms + (now - asked_at) / _MILLISECOND,
                _combine_leftovers(answer, service),
            )
            try:
                revision = await self._write(answer, row, nonce, draft)
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
            return replace(draft, revision=revision)
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
        written_at = self._clock.now()
        claimed_ms = claim.claimed_ms + (written_at - claim.claimed_at) / _MILLISECOND
        return await self._rewrite(
            replace(claim, claimed_at=written_at, claimed_ms=claimed_ms),
            ClaimState.OPEN,
            claimed_ms,
        )

    async def close(self, claim: Claim) -> bool:
        """Record what is left of a claim; return False if another one has claimed it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written, or
            if it has come back from a copy since.
        """
        left = claim.left
        state = ClaimState.PAUSED if left.may_be_paused else ClaimState.ENDED
        if left.pending_since_ms is not None:
            state = ClaimState.OPEN
        pending_since_ms = left.pending_since_ms or 0.0
        return await self._rewrite(claim, state, pending_since_ms) is not None

    async def _rewrite(
        self, claim: Claim, state: ClaimState, pending_since_ms: float
    ) -> Claim | None:
        if self._era.current != claim.revision.era:
            detail = f"{claim.service}: the claim is of an earlier era of the store"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
        key = claim_key(claim.service, claim.revision.era)
        condition = StoredRow(TABLE, "", key, None, claim.revision.version)
        nonce = uuid.uuid4().hex
        body = ClaimBody(self._instance, nonce, claim.former, state, pending_since_ms)
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
            return replace(claim, revision=revision)
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
            unended[service] = UnendedClaim(
                CommitBlock(service, token, body.former),
                _read_leftovers(row, answer.now_ms),
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
        self, answer: FeedAnswer, row: StoredRow | None, nonce: str, draft: Claim
    ) -> RowRevision:
        key = claim_key(draft.service, answer.era)
        version = 0 if row is None else row.version
        condition = StoredRow(TABLE, "", key, None, version)
        body = ClaimBody(
            self._instance, nonce, draft.former, ClaimState.OPEN, draft.claimed_ms
        )
        put = RowPut(TABLE, "", key, msgspec.json.encode(body))
        earlier = [
            r for r in answer.rows if r.key != key and _get_service(r) == draft.service
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


def _read_leftovers(row: StoredRow, now_ms: float) -> Leftovers:
    """Return what may be left of a row's claim.

    Anything may be left of a claim that can't be read, or whose release records less.
    """
    body = _decode_body(row)
    if body is not None and body.state == ClaimState.ENDED:
        return NOTHING_LEFT
    if body is not None and body.state == ClaimState.PAUSED:
        return Leftovers(may_be_paused=True)
    is_known = body is not None and body.state == ClaimState.OPEN
    since_ms = (is_known and body.pending_since_ms) or now_ms
    return Leftovers(since_ms, may_be_paused=True).at(now_ms)


def _combine_leftovers(answer: FeedAnswer, service: str) -> Leftovers:
    """Return what may be left of a service's claims, those of earlier eras included."""
    left = NOTHING_LEFT
    for row in answer.rows:
        is_present = row.value is not None and _get_era(row) <= answer.era
        if is_present and _get_service(row) == service:
            left |= _read_leftovers(row, answer.now_ms)
    return left
