"""Writes this instance's heartbeat row and reads the rows of the other members."""

import random
from dataclasses import replace
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..settings.address import Address
from .decision_log import DecisionLog
from .directory import Directory
from .members import HEARTBEAT_INTERVAL, TABLE, Member, Members, encode_member
from .row_store import RowPut, RowStore, StoredRow
from .store_era import StoreEra

# When a fleet starts, all instances write their rows within a second; these reads
# follow soon after.
STARTUP_READ_PAUSES = (timedelta(seconds=1), timedelta(seconds=3))
# When the store was restored, all instances rewrite their rows, spread over this time.
REWRITE_SPREAD_S = 1.0
READ_RETRY_PAUSE_S = 0.2  # a reachable store answers within milliseconds
LEAVE_TIMEOUT_S = 0.5


class MemberUpdater:
    """Writes heartbeats and updates the directory's list of live members.

    Parameters
    ----------
    member : Member
        This instance.
    store : RowStore
        The store.
    era : StoreEra
        Its era; the row is rewritten in each new one.
    directory : Directory
        Receives the live members, among which it shares the connections.
    clock : Clock
        Source of the time.
    rng : random.Random
        Spreads the heartbeats of several instances.
    log : DecisionLog
        Receives log events.
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
        "_written_era",
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
        self._written_era = 0  # era in which the row was last written

    def set_address(self, address: Address) -> None:
        """Set where this instance accepts channels, known once its port is bound."""
        self._member = replace(self._member, address=address)

    @property
    def live(self) -> list[Member]:
        """Live members, sorted by name; always includes this instance."""
        members = {m.name: m for m in self._members.live(self._clock.now())}
        members[self._member.name] = self._member
        return [members[name] for name in sorted(members)]

    async def run(self) -> None:
        """Write heartbeats and read those of others until cancelled."""
        while not await self._read():
            # No service can be served before the members are known.
            await anyio.sleep(READ_RETRY_PAUSE_S * self._rng.uniform(0.5, 1))
        await self._write_heartbeat()
        for pause in STARTUP_READ_PAUSES:
            if await self._wait(pause):
                await self._write_heartbeat()
            await self._read()
        while not self._is_leaving:
            await self._wait(HEARTBEAT_INTERVAL * self._rng.uniform(0.8, 1))
            if not self._is_leaving:
                await self._write_heartbeat()
                await self._read()

    async def leave(self) -> None:
        """Remove this instance's row, so that it is no longer a member."""
        self._is_leaving = True
        row = StoredRow(TABLE, "", self._member.name, None, 0)
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self._store.write([], [], [row])
            except CodedError as error:
                # The row expires when its heartbeats are missing.
                self._log.decision("member not removed", detail=error.detail)

    async def _wait(self, limit: timedelta) -> bool:
        """Wait for ``limit`` or a new era of the store; return True in a new era.

        The row must be rewritten then; the extra pause spreads the instances' writes.
        """
        is_new_era = await self._era.wait_for_change(self._written_era, limit)
        if is_new_era:
            await anyio.sleep(REWRITE_SPREAD_S * self._rng.random())
        return is_new_era

    async def _write_heartbeat(self) -> None:
        self._written_era = self._era.current
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
