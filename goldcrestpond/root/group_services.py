"""Makes the services of groups as configurations name them."""

import random
from collections.abc import Mapping
from types import MappingProxyType

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..configuration.configuration import Configuration
from ..configuration.database_group_spec import DatabaseGroupSpec
from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.endpoint_connection import EndpointConnection
from ..endpoint.group_monitor import GroupMonitor
from ..endpoint.login import Login
from ..endpoint.open_connection import open_connection
from ..endpoint.share_updater import ShareUpdater
from ..endpoint.statement_activity import is_statement_running
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..placement.group_use import GroupUse
from ..pool.database_pool import DatabasePool
from ..pool.pool_settings import PoolSettings
from ..pool.share_limits import ShareLimits
from ..settings.address import Address, parse_address
from ..settings.proxy_settings import ProxySettings
from ..store.platform import Platform
from ..wire.group_service import GroupService, WaitConfiguration

# Longer than a statement may usually run; what still runs then is cut.
_RETIREMENT_S = 60.0
_RETIREMENT_TICK_S = 0.1
_REVIEW_PAUSE_S = 30.0  # a group that is not used may be watched so much longer


class GroupServices:
    """Services of the groups that this instance watches.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the process.
    platform : Platform
        The platform's service.
    wait_configuration : callable
        Returns once the configuration may be served, given a monotonic
        reading after which that is given up.
    clock : Clock
        Source of monotonic readings.
    rng : random.Random
        Source of randomness.
    events : EventRecorder
        Time line.
    tasks : TaskGroup
        Runs the monitors.
    """

    __slots__ = (
        "_clock",
        "_configured",
        "_events",
        "_platform",
        "_rng",
        "_running",
        "_services",
        "_settings",
        "_shares",
        "_specs",
        "_tasks",
        "_use",
        "_wait_configuration",
    )

    def __init__(
        self,
        settings: ProxySettings,
        platform: Platform,
        wait_configuration: WaitConfiguration,
        clock: Clock,
        rng: random.Random,
        events: EventRecorder,
        tasks: TaskGroup,
    ):
        self._settings = settings
        self._platform = platform
        self._wait_configuration = wait_configuration
        self._clock = clock
        self._rng = rng
        self._events = events
        self._tasks = tasks
        self._shares = ShareUpdater(settings.instance, platform, clock, rng)
        tasks.start_soon(self._shares.run)
        self._configured: dict[str, DatabaseGroupSpec] = {}
        self._use = GroupUse()
        tasks.start_soon(self._review_forever)
        self._services: dict[str, GroupService] = {}
        self._running: dict[str, anyio.CancelScope] = {}
        self._specs: dict[str, DatabaseGroupSpec] = {}

    def find(self, name: str) -> GroupService:
        """Return the service of a group for a request.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE if the configuration has no such group.
        """
        self._use.record_use(name, self._clock.now())
        service = self._services.get(name)
        if service is not None:
            return service
        spec = self._configured.get(name)
        if spec is None:
            raise CodedError(ResultCode.UNKNOWN_DATABASE, f"no group {name!r}")
        return self._begin(name, spec)

    def watched(self) -> dict[str, GroupService]:
        """Return the services that run, by the names of their groups."""
        return dict(self._services)

    @property
    def count(self) -> int:
        """Number of groups."""
        return len(self._services)

    @property
    def count_without_primary(self) -> int:
        """Number of groups that take no writes as far as this process knows."""
        return sum(
            service.monitor.primary is None for service in self._services.values()
        )

    def find_pool(self, group: str, database: str) -> ConnectionPool | None:
        """Return the pool of a database, or None if there is none."""
        service = self._services.get(group)
        return service.find_pool(database) if service is not None else None

    def apply(self, configuration: Configuration) -> None:
        """Make, replace and end services so that they fit a configuration."""
        self._configured = configuration.groups
        self._review()

    async def _review_forever(self) -> None:
        while True:
            await anyio.sleep(_REVIEW_PAUSE_S)
            self._review()

    def _review(self) -> None:
        now = self._clock.now()
        for name, service in self._services.items():
            if service.running_count:
                self._use.record_use(name, now)
        groups_to_watch = self._use.groups_to_watch(self._configured, now)
        for name in list(self._services):
            spec = self._configured.get(name)
            if spec is None or name not in groups_to_watch:
                self._end(name)
            elif spec != self._specs[name]:
                self._replace(name, spec)
        for name in groups_to_watch - self._services.keys():
            self._begin(name, self._configured[name])

    def _replace(self, name: str, spec: DatabaseGroupSpec) -> None:
        """Serve new requests by a changed group; pools that still fit go on."""
        kept = _unchanged_databases(self._specs[name], spec)
        pools = self._services[name].remove_pools(kept)
        self._end(name)
        self._begin(name, spec, pools)

    def _begin(
        self,
        name: str,
        spec: DatabaseGroupSpec,
        kept_pools: Mapping[str, ConnectionPool] = MappingProxyType({}),
    ) -> GroupService:
        monitor = GroupMonitor(
            name,
            spec,
            self._platform,
            self._open,
            self._clock,
            self._rng,
            self._events,
            self._settings.instance,
            self._settings.availability_zone,
        )
        scope = anyio.CancelScope()
        self._specs[name] = spec
        self._running[name] = scope
        service = GroupService(
            name,
            monitor,
            lambda database, address: self._make_pool(name, spec, database, address),
            self._wait_configuration,
            self._clock,
        )
        self._services[name] = service
        for database, pool in kept_pools.items():
            service.add_pool(database, pool)
            self._share(name, spec, database, pool)
        for database in spec.databases:
            # Shares of connections are asked for before the first use.
            service.add_database(database.name, parse_address(database.address))
        self._tasks.start_soon(self._run_monitor, monitor, scope)
        return service

    async def aclose(self) -> None:
        """End all services, then give up their shares of connections."""
        for scope in self._running.values():
            scope.cancel()
        for service in self._services.values():
            await service.aclose()
        await self._shares.release()

    def _end(self, name: str) -> None:
        scope = self._running.pop(name)
        self._services[name].monitor.stop_reconciling()
        del self._specs[name]
        service = self._services.pop(name)
        for database in service.databases():
            self._shares.remove(name, database)
        self._tasks.start_soon(self._retire, service, scope)

    async def _retire(self, service: GroupService, scope: anyio.CancelScope) -> None:
        """Let what runs end, commits that wait included."""
        with anyio.move_on_after(_RETIREMENT_S):
            await service.aclose()
            while service.running_count:
                await anyio.sleep(_RETIREMENT_TICK_S)
            await anyio.sleep(self._settings.acknowledge_timeout_ms / 1000)
        scope.cancel()

    async def _run_monitor(
        self, monitor: GroupMonitor, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await monitor.run()

    def _make_pool(
        self, group: str, spec: DatabaseGroupSpec, database: str, address: Address
    ) -> ConnectionPool:
        login = Login(spec.user, group, spec.password)
        decisions = DatabasePool(
            PoolSettings(
                slot_limit=spec.slot_limit, report_slot_limit=0, connection_limit=0
            )
        )
        pool = ConnectionPool(
            database,
            decisions,
            lambda: self._open(address, login),
            self._clock,
            self._tasks,
            lambda silent: self._ask_after(silent, address, login),
        )
        self._tasks.start_soon(pool.run)
        self._share(group, spec, database, pool)
        return pool

    def _share(
        self, group: str, spec: DatabaseGroupSpec, database: str, pool: ConnectionPool
    ) -> None:
        limits = ShareLimits(spec.connection_limit, spec.report_slot_limit)
        self._shares.add(group, database, limits, spec.slot_limit, pool)

    async def _ask_after(
        self, silent: EndpointConnection, address: Address, login: Login
    ) -> bool | None:
        probe = await self._open(address, login)
        try:
            return await is_statement_running(probe, silent.process_id)
        finally:
            await probe.aclose()

    async def _open(self, address: Address, login: Login) -> EndpointConnection:
        with anyio.move_on_after(self._settings.connect_timeout_ms / 1000):
            return await open_connection(address, login)
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, f"{address}: no answer")


def _unchanged_databases(old: DatabaseGroupSpec, new: DatabaseGroupSpec) -> set[str]:
    """Return the databases that are reached as before."""
    if (old.user, old.password) != (new.user, new.password):
        return set()
    before = {database.name: database.address for database in old.databases}
    return {
        database.name
        for database in new.databases
        if before.get(database.name) == database.address
    }
