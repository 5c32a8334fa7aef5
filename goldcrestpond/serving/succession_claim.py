"""The claim to replace the leader of one service (shell)."""

import uuid
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .row_store import RowConflict, RowPut, RowStore, StoredRow

TABLE = "succession"
# Nobody else claims for this time; a promotion takes a second.
HOLD = timedelta(milliseconds=3000)
# A holder gives up before another one may claim.
USE = timedelta(milliseconds=2200)
ATTEMPTS_MAX = 3


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
    token : int
        Fencing token: the version of the claim's row.
    claimed_at : timedelta
        Reading before the claim was written.
    """

    service: str
    token: int
    claimed_at: timedelta

    def is_usable(self, now: timedelta) -> bool:
        """Return whether no other instance may have claimed since."""
        return now - self.claimed_at < USE


class ClaimKeeper:
    """Claims services under the condition that nobody has done so lately.

    Parameters
    ----------
    instance : str
        Name of this instance.
    store : RowStore
        The store.
    clock : Clock
        Source of readings.
    """

    __slots__ = ("_clock", "_instance", "_seen", "_store")

    def __init__(self, instance: str, store: RowStore, clock: Clock):
        self._instance = instance
        self._store = store
        self._clock = clock
        self._seen: dict[str, tuple[int, timedelta]] = {}

    async def claim(self, service: str, former: str) -> Claim | None:
        """Claim a service; None if another instance holds it.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store does not say.
        """
        nonces: set[str] = set()
        for _ in range(ATTEMPTS_MAX):
            row = await self._read(service)
            body = self._body(row)
            if body is not None and body.nonce in nonces:
                return Claim(service, row.version, self._clock.now())
            is_own = body is not None and body.holder == self._instance
            if row is not None and not is_own and self._is_held(service, row):
                return None
            nonce = uuid.uuid4().hex
            nonces.add(nonce)
            claimed_at = self._clock.now()
            try:
                version = await self._write(service, row, nonce, former)
            except RowConflict as conflict:
                bodies = [(self._body(r), r) for r in conflict.rows]
                mine = [r for b, r in bodies if b is not None and b.nonce in nonces]
                if not mine:
                    return None
                version = mine[0].version
            except CodedError:
                continue  # it may have been written: the row tells
            self._seen[service] = (version, claimed_at)
            return Claim(service, version, claimed_at)
        detail = f"{service}: the claim was not answered"
        raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)

    def _is_held(self, service: str, row: StoredRow) -> bool:
        now = self._clock.now()
        version, seen_at = self._seen.get(service, (0, now))
        if version != row.version:
            self._seen[service] = (row.version, now)
            return True
        return now - seen_at < HOLD

    async def _read(self, service: str) -> StoredRow | None:
        answer = await self._store.read(TABLE)
        rows = [row for row in answer.rows if row.key == service]
        return rows[0] if rows else None

    async def _write(
        self, service: str, row: StoredRow | None, nonce: str, former: str
    ) -> int:
        version = 0 if row is None else row.version
        condition = StoredRow(TABLE, "", service, None, version)
        body = ClaimBody(self._instance, nonce, former)
        put = RowPut(TABLE, "", service, msgspec.json.encode(body))
        return await self._store.write([condition], [put])

    def _body(self, row: StoredRow | None) -> ClaimBody | None:
        if row is None or row.value is None:
            return None
        try:
            return msgspec.json.decode(row.value, type=ClaimBody)
        except msgspec.MsgspecError:
            return None  # a row of another writer is nobody's claim
