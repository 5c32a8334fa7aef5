"""Renews this instance's connection shares in the platform's table."""

import logging
import random
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
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

_KEY_PREFIX = "sharing/"
_LEASE_PREFIX = _KEY_PREFIX + "lease/"
_ROW_PREFIX = _KEY_PREFIX + "row/"
# Moving connections between instances takes three rounds: one asks for more, another
# lowers its share, and the first raises its own.
_ROUND_INTERVAL = timedelta(milliseconds=500)
_INSTANCES_INTERVAL = timedelta(seconds=10)
# Demand is the peak of this many rounds, so that shares do not change back and forth.
_PEAK_ROUNDS = 4
_STATUS_CONNECTIONS = 1  # opened by the group monitor, outside the pool
_EMPTY_LEASE = b"{}"
_log = logging.getLogger("goldcrestpond.endpoint")


@dataclass(slots=True, eq=False)
class _SharedDatabase:
    """A database whose connections are shared between instances.

    ``connection_demands`` and ``reports`` hold the demand for connections and for
    running reports in the last rounds.
    """

    pool: ConnectionPool
    holder: ShareHolder
    slot_limit: int
    connection_demands: deque[int] = field(
        default_factory=lambda: deque(maxlen=_PEAK_ROUNDS)
    )
    reports: deque[int] = field(default_factory=lambda: deque(maxlen=_PEAK_ROUNDS))


class ShareUpdater:
    """Updates this instance's connection shares of all databases that it serves.

    The platform's table has one row for each database, which divides its connections
    among the instances. Each instance renews a lease; without it, it may use only a
    small part of its share.

    Parameters
    ----------
    instance : str
        Name of this instance.
    platform : Platform
        Client of the platform's table.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Spreads the rounds of instances in time.
    """

    __slots__ = (
        "_clock",
        "_databases",
        "_instance",
        "_lease",
        "_lease_revision",
        "_listed_at",
        "_listed_instances",
        "_other_leases",
        "_platform",
        "_revision",
        "_rng",
        "_rows",
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
        self._other_leases = LeaseObserver()
        self._listed_instances: frozenset[str] = frozenset()
        self._listed_at: timedelta | None = None
        self._revision = 0
        self._rows: dict[str, tuple[ShareRow, int]] = {}
        self._databases: dict[str, _SharedDatabase] = {}
        self._wake = anyio.Event()

    def add(
        self,
        group: str,
        database: str,
        limits: ShareLimits,
        slot_limit: int,
        pool: ConnectionPool,
    ) -> None:
        """Start sharing a database's connections.

        Parameters
        ----------
        group : str
            Group of the database.
        database : str
            Name of the database.
        limits : ShareLimits
            Limits of the database over all instances.
        slot_limit : int
            Statements that may run at once over all instances.
        pool : ConnectionPool
            Pool of this instance, which receives its part of the limits.
        """
        key = f"{_ROW_PREFIX}{group}/{database}"
        holder = ShareHolder(self._instance, limits, self._lease, self._other_leases)
        known_row = self._rows.get(key)
        if known_row is not None:
            holder.observe(*known_row)
        self._databases[key] = _SharedDatabase(pool, holder, slot_limit)
        self._wake.set()

    def remove(self, group: str, database: str) -> None:
        """Stop sharing; the entry in the row lapses with this instance's lease."""
        self._databases.pop(f"{_ROW_PREFIX}{group}/{database}", None)

    async def run(self) -> None:
        """Renew the lease, update shares and apply them to pools until cancelled."""
        while True:
            try:
                await self._run_round()
            except CodedError as error:
                _log.info("pool: cannot update connection shares: %s", error)
            self._apply_limits()
            pause = _ROUND_INTERVAL.total_seconds() * self._rng.uniform(0.8, 1.0)
            with anyio.move_on_after(pause):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def release(self) -> None:
        """Release all shares; call it only after every connection has been closed."""
        for key, database in list(self._databases.items()):
            proposal = database.holder.release()
            if proposal is not None:
                await self._write_row(key, database, proposal)

    async def _run_round(self) -> None:
        await self._renew_lease()
        await self._read_rows()
        await self._read_instances()
        for key, database in list(self._databases.items()):
            proposal = self._propose_row(database)
            if proposal is not None:
                await self._write_row(key, database, proposal)

    async def _renew_lease(self) -> None:
        sent_at = self._clock.now()
        if not self._lease.is_renewal_due(sent_at):
            return
        key = _LEASE_PREFIX + self._instance
        try:
            revision = await self._platform.put(key, _EMPTY_LEASE, self._lease_revision)
        except PlatformConflict as conflict:
            # Written before, by this process, which did not receive the answer, or by
            # a previous process of the same instance.
            self._lease_revision = conflict.rows[0].revision
            sent_at = self._clock.now()
            revision = await self._platform.put(key, _EMPTY_LEASE, self._lease_revision)
        self._lease_revision = revision
        self._lease.record_renewal(sent_at)

    async def _read_rows(self) -> None:
        sent_at = self._clock.now()
        changes = await read_all_changes(self._platform, _KEY_PREFIX, self._revision)
        answered_at = self._clock.now()
        for row in changes.rows:
            self._observe_row(row, answered_at)
        self._revision = changes.revision
        self._other_leases.record_read(sent_at)

    def _observe_row(self, row: Row, answered_at: timedelta) -> None:
        if row.key.startswith(_LEASE_PREFIX):
            instance = row.key.removeprefix(_LEASE_PREFIX)
            self._other_leases.observe(instance, row.revision, answered_at)
            return
        try:
            value = msgspec.json.decode(row.value or b"{}", type=ShareRow)
        except DECODE_ERRORS as error:
            # The shares that are known hold; nothing is written over the row.
            _log.warning("pool: unreadable shares %s: %s", row.key, error)
            return
        self._rows[row.key] = (value, row.revision if row.value else 0)
        database = self._databases.get(row.key)
        if database is not None:
            database.holder.observe(*self._rows[row.key])

    async def _read_instances(self) -> None:
        now = self._clock.now()
        if self._listed_at is not None and now < self._listed_at + _INSTANCES_INTERVAL:
            return
        entries = await self._platform.instances()
        self._listed_instances = frozenset(entry.name for entry in entries)
        self._listed_at = now

    def _propose_row(self, database: _SharedDatabase) -> ShareProposal | None:
        pool = database.pool
        connection_demand = pool.demand + _STATUS_CONNECTIONS
        if pool.demand:
            connection_demand += 1  # for a probe
        database.connection_demands.append(connection_demand)
        database.reports.append(pool.report_demand)
        demand = ShareDemand(
            in_use=pool.open_count + _STATUS_CONNECTIONS,
            connection_demand=max(database.connection_demands),
            reports_running=pool.reports_running,
            report_demand=max(database.reports),
        )
        return database.holder.propose(
            demand, self._listed_instances, self._clock.now()
        )

    async def _write_row(
        self, key: str, database: _SharedDatabase, proposal: ShareProposal
    ) -> None:
        body = msgspec.json.encode(proposal.row)
        try:
            revision = await self._platform.put(key, body, proposal.expected_revision)
        except PlatformConflict as conflict:
            self._observe_row(conflict.rows[0], self._clock.now())
            return
        self._rows[key] = (proposal.row, revision)
        database.holder.record_write(proposal, revision)

    def _apply_limits(self) -> None:
        now = self._clock.now()
        for database in self._databases.values():
            usable_connections = database.holder.usable_connections(now)
            connection_limit = database.holder.limits.connection_limit
            # Rounded up.
            slots = -(-database.slot_limit * usable_connections // connection_limit)
            database.pool.set_limits(
                max(0, usable_connections - _STATUS_CONNECTIONS),
                slots,
                database.holder.usable_report_slots(),
            )
