"""Keeps this instance among the members and counts them (shell)."""

import random
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .decision_log import DecisionLog
from .directory import Directory
from .members import HEARTBEAT, TABLE, Members
from .row_store import RowPut, RowStore, StoredRow

# At a start all instances write their rows within a second.
FIRST_READS = (timedelta(seconds=1), timedelta(seconds=3))
LEAVE_LIMIT_S = 0.5


class MemberKeeper:
    """Writes heartbeats and shares the connections among live members.

    Parameters
    ----------
    instance : str
        Name of this instance.
    store : RowStore
        The store.
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
        "_instance",
        "_is_leaving",
        "_log",
        "_members",
        "_rng",
        "_store",
    )

    def __init__(
        self,
        instance: str,
        store: RowStore,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._instance = instance
        self._store = store
        self._directory = directory
        self._clock = clock
        self._rng = rng
        self._log = log
        self._members = Members()
        self._is_leaving = False

    @property
    def live(self) -> list[str]:
        """Names of live members; this instance is always one."""
        return sorted({self._instance, *self._members.live(self._clock.now())})

    async def run(self) -> None:
        """Write heartbeats and read those of others until cancelled."""
        await self._beat()
        for pause in FIRST_READS:
            await anyio.sleep(pause.total_seconds())
            await self._read()
        while not self._is_leaving:
            pause_s = HEARTBEAT.total_seconds() * self._rng.uniform(0.8, 1)
            await anyio.sleep(pause_s)
            if not self._is_leaving:
                await self._beat()
                await self._read()

    async def leave(self) -> None:
        """Remove this instance from the members."""
        self._is_leaving = True
        row = StoredRow(TABLE, "", self._instance, None, 0)
        with anyio.move_on_after(LEAVE_LIMIT_S):
            try:
                await self._store.write([], [], [row])
            except CodedError as error:
                # The row lapses with its heartbeats.
                self._log.decision("member not removed", detail=error.detail)

    async def _beat(self) -> None:
        put = RowPut(TABLE, "", self._instance, b"{}")
        try:
            await self._store.write([], [put])
        except CodedError as error:
            self._log.decision("heartbeat not written", detail=error.detail)

    async def _read(self) -> None:
        try:
            answer = await self._store.read(TABLE)
        except CodedError as error:
            self._log.decision("members not read", detail=error.detail)
            return
        self._members.replace(answer.rows, self._clock.now())
        self._directory.set_member_count(len(self.live))
