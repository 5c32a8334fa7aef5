"""Keeps this instance among the members and counts them (shell)."""

import random
from collections.abc import Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .decision_log import DecisionLog
from .directory import Directory
from .members import HEARTBEAT, TABLE, Members
from .row_store import RowPut, RowStore, StoredRow
from .table_feed import TableFeed

SPACING = timedelta(seconds=1)  # a change of members may wait so long
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
        "_feed",
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
        self._feed = TableFeed(
            store, TABLE, SPACING, self._replace, self._update, clock, rng, log
        )

    @property
    def live(self) -> list[str]:
        """Names of live members; this instance is always one."""
        return sorted({self._instance, *self._members.live(self._clock.now())})

    async def run(self) -> None:
        """Write heartbeats and follow those of others until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._feed.run)
            while not self._is_leaving:
                await self._beat()
                pause = HEARTBEAT.total_seconds() * self._rng.uniform(0.8, 1)
                await anyio.sleep(pause)
                self._count()

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

    def _replace(self, rows: Sequence[StoredRow]) -> None:
        self._members.replace(rows, self._clock.now())
        self._count()

    def _update(self, rows: Sequence[StoredRow]) -> None:
        self._members.update(rows, self._clock.now())
        self._count()

    def _count(self) -> None:
        self._directory.set_member_count(len(self.live))
