"""Keeps this instance's shares in the platform's table (shell)."""

import logging
import random
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..pool.instance_lease import InstanceLease
from ..pool.lease_observer import LeaseObserver
from ..pool.share_demand import ShareDemand
from ..pool.share_holder import ShareHolder
from ..pool.share_limits import ShareLimits
from ..pool.share_proposal import ShareProposal
from ..pool.share_row import ShareRow
from ..store.platform import Platform
from ..store.platform_conflict import PlatformConflict
from ..store.read_all_changes import read_all_changes
from ..store.row import Row
from .connection_pool import ConnectionPool

PREFIX = "sharing/"
_LEASE_PREFIX = PREFIX + "lease/"
_ROW_PREFIX = PREFIX + "row/"
# Three rounds move a share: one instance asks, another gives, the first takes.
_ROUND = timedelta(milliseconds=500)
_LIST_INTERVAL = timedelta(seconds=10)
# Demand counts at its peak over so many rounds, lest a share flap.
_PEAK_ROUNDS = 4
_STATUS_CONNECTIONS = 1  # the group monitor's own, outside the pool
_EMPTY_LEASE = b"{}"
_log = logging.getLogger("goldcrestpond.endpoint")


@dataclass(slots=True, eq=False)
class _Shared:
    """One database whose connections are shared."""

    pool: ConnectionPool
    holder: ShareHolder
    slot_limit: int
    connection_demand: deque[int] = field(
        default_factory=lambda: deque(maxlen=_PEAK_ROUNDS)
    )
    reports: deque[int] = field(default_factory=lambda: deque(maxlen=_PEAK_ROUNDS))


class ShareUpdater:
    """Shares of this instance in all databases that it serves.

    Parameters
    ----------
    instance : str
        Name of this instance.
    platform : Platform
        The platform's service.
    clock : Clock
        Source of monotonic readings.
    rng : random.Random
        Spreads the rounds of instances.
    """

    __slots__ = (
        "_clock",
        "_instance",
        "_lease",
        "_lease_revision",
        "_listed",
        "_listed_at",
        "_others",
        "_platform",
        "_revision",
        "_rng",
        "_rows",
        "_shared",
        "_wake",
    )

    def __init__(
        self, instance: str, platform: Platform, clock: Clock, rng: random.Random
    ):
        self._instance = instance
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._lease = InstanceLease()
        self._lease_revision = 0
        self._others = LeaseObserver()
        self._listed: frozenset[str] = frozenset()
        self._listed_at: timedelta | None = None
        self._revision = 0
        self._rows: dict[str, tuple[ShareRow, int]] = {}
        self._shared: dict[str, _Shared] = {}
        self._wake = anyio.Event()

    def add(
        self,
        group: str,
        database: str,
        limits: ShareLimits,
        slot_limit: int,
        pool: ConnectionPool,
    ) -> None:
        """Begin to share a database's connections."""
        key = f"{_ROW_PREFIX}{group}/{database}"
        holder = ShareHolder(self._instance, limits, self._lease, self._others)
        known = self._rows.get(key)
        if known is not None:
            holder.observe(*known)
        self._shared[key] = _Shared(pool, holder, slot_limit)
        self._wake.set()

    def remove(self, group: str, database: str) -> None:
        """Stop to share; the entry is given up when its lease lapses."""
        self._shared.pop(f"{_ROW_PREFIX}{group}/{database}", None)

    async def run(self) -> None:
        """Renew, read, propose and apply until cancelled."""
        while True:
            try:
                await self._run_round()
            except CodedError as error:
                _log.info("pool: shares not renewed: %s", error)
            self._apply_limits()
            pause = _ROUND.total_seconds() * self._rng.uniform(0.8, 1.0)
            with anyio.move_on_after(pause):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def release(self) -> None:
        """Give up all shares; call after every connection has been closed."""
        for key, shared in self._shared.items():
            proposal = shared.holder.release()
            if proposal is not None:
                await self._write(key, shared, proposal)

    async def _run_round(self) -> None:
        await self._renew()
        await self._read()
        await self._read_list()
        for key, shared in list(self._shared.items()):
            proposal = self._propose(shared)
            if proposal is not None:
                await self._write(key, shared, proposal)

    async def _renew(self) -> None:
        sent_at = self._clock.now()
        if not self._lease.is_renewal_due(sent_at):
            return
        key = _LEASE_PREFIX + self._instance
        try:
            revision = await self._platform.put(key, _EMPTY_LEASE, self._lease_revision)
        except PlatformConflict as conflict:
            # An earlier write whose answer was lost, or a former process.
            self._lease_revision = conflict.rows[0].revision
            sent_at = self._clock.now()
            revision = await self._platform.put(key, _EMPTY_LEASE, self._lease_revision)
        self._lease_revision = revision
        self._lease.record_renewal(sent_at)

    async def _read(self) -> None:
        sent_at = self._clock.now()
        changes = await read_all_changes(self._platform, PREFIX, self._revision)
        answered_at = self._clock.now()
        for row in changes.rows:
            self._take_row(row, answered_at)
        self._revision = changes.revision
        self._others.record_read(sent_at)

    def _take_row(self, row: Row, answered_at: timedelta) -> None:
        if row.key.startswith(_LEASE_PREFIX):
            name = row.key.removeprefix(_LEASE_PREFIX)
            self._others.observe(name, row.revision, answered_at)
            return
        value = msgspec.json.decode(row.value or b"{}", type=ShareRow)
        self._rows[row.key] = (value, row.revision if row.value else 0)
        shared = self._shared.get(row.key)
        if shared is not None:
            shared.holder.observe(*self._rows[row.key])

    async def _read_list(self) -> None:
        now = self._clock.now()
        if self._listed_at is not None and now < self._listed_at + _LIST_INTERVAL:
            return
        entries = await self._platform.instances()
        self._listed = frozenset(entry.name for entry in entries)
        self._listed_at = now

    def _propose(self, shared: _Shared) -> ShareProposal | None:
        pool = shared.pool
        connection_demand = pool.demand + _STATUS_CONNECTIONS
        if pool.demand:
            connection_demand += 1  # for a probe
        shared.connection_demand.append(connection_demand)
        shared.reports.append(pool.report_demand)
        demand = ShareDemand(
            in_use=pool.open_count + _STATUS_CONNECTIONS,
            connection_demand=max(shared.connection_demand),
            reports_running=pool.reports_running,
            report_demand=max(shared.reports),
        )
        return shared.holder.propose(demand, self._listed, self._clock.now())

    async def _write(self, key: str, shared: _Shared, proposal: ShareProposal) -> None:
        body = msgspec.json.encode(proposal.row)
        try:
            revision = await self._platform.put(key, body, proposal.expected_revision)
        except PlatformConflict as conflict:
            self._take_row(conflict.rows[0], self._clock.now())
            return
        self._rows[key] = (proposal.row, revision)
        shared.holder.record_write(proposal, revision)

    def _apply_limits(self) -> None:
        now = self._clock.now()
        for shared in self._shared.values():
            usable_connections = shared.holder.usable_connections(now)
            limit = shared.holder.limits.connection_limit
            slots = -(-shared.slot_limit * usable_connections // limit)
            shared.pool.set_limits(
                max(0, usable_connections - _STATUS_CONNECTIONS),
                slots,
                shared.holder.usable_report_slots(),
            )
