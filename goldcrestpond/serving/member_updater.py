"""Keeps this instance among the members and counts them (shell)."""

import random
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .decision_log import DecisionLog
from .directory import Directory
from .members import HEARTBEAT_INTERVAL, TABLE, Member, Members, encode_member
from .row_store import RowPut, RowStore, StoredRow
from .store_era import StoreEra

# At a start all instances write their rows within a second.
STARTUP_READ_PAUSES = (timedelta(seconds=1), timedelta(seconds=3))
# After a return of the store all rewrite their rows; spread over this time.
REWRITE_SPREAD_S = 1.0
READ_RETRY_PAUSE_S = 0.2  # a store that is back answers within milliseconds
LEAVE_TIMEOUT_S = 0.5


class MemberUpdater:
    """Writes heartbeats and shares the connections among live members.

    Parameters
    ----------
    member : Member
        This instance.
    store : RowStore
        The store.
    era : StoreEra
        Its era; the row is written anew in each.
    directory : Directory
        Told how many members there are.
    clock : Clock
        Source of readings.
    rng : random.Random
        Spreads the heartbeats of several instances.
    log : DecisionLog
        Sink of decisions.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_era",
        "_is_leaving",
        "_log",
        "_member",
        "_members",
        "_rng",
        "_store",
        "_written_in",
    )

    def __init__(
        self,
        member: Member,
        store: RowStore,
        era: StoreEra,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._member = member
        self._store = store
        self._era = era
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._log = log
        self._members = Members()
        self._is_leaving = False
        self._written_in = 0  # era of the row

    @property
    def live(self) -> list[Member]:
        """Live members by name; this instance is always one."""
        members = {m.name: m for m in self._members.live(self._clock.now())}
        members[self._member.name] = self._member
        return [members[name] for name in sorted(members)]

    async def run(self) -> None:
        """Write heartbeats and read those of others until cancelled."""
        while not await self._read():
            # Without the members nothing can be served.
            await anyio.sleep(READ_RETRY_PAUSE_S * self._rng.uniform(0.5, 1))
        await self._beat()
        for pause in STARTUP_READ_PAUSES:
            if await self._wait(pause):
                await self._beat()
            await self._read()
        while not self._is_leaving:
            await self._wait(HEARTBEAT_INTERVAL * self._rng.uniform(0.8, 1))
            if not self._is_leaving:
                await self._beat()
                await self._read()

    async def leave(self) -> None:
        """Remove this instance from the members."""
        self._is_leaving = True
        row = StoredRow(TABLE, "", self._member.name, None, 0)
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self._store.write([], [], [row])
            except CodedError as error:
                # The row lapses with its heartbeats.
                self._log.decision("member not removed", detail=error.detail)

    async def _wait(self, limit: timedelta) -> bool:
        """Wait, and less if the row is to be written in a new era; return whether."""
        is_new_era = await self._era.wait_for_change(self._written_in, limit)
        if is_new_era:
            await anyio.sleep(REWRITE_SPREAD_S * self._rng.random())
        return is_new_era

    async def _beat(self) -> None:
        self._written_in = self._era.current
        value = encode_member(self._member, self._era.current)
        put = RowPut(TABLE, "", self._member.name, value)
        try:
            await self._store.write([], [put])
        except CodedError as error:
            self._log.decision("heartbeat not written", detail=error.detail)

    async def _read(self) -> bool:
        try:
            answer = await self._store.read(TABLE)
        except CodedError as error:
            self._log.decision("members not read", detail=error.detail)
            return False
        self._members.replace(answer.rows, self._clock.now(), answer.era)
        self._directory.set_members(self.live)
        return True
