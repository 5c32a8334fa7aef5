"""Starts and stops the services of database groups as the configuration changes."""

import random
from collections.abc import Mapping
from types import MappingProxyType

import anyio

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
from ..tasks.supervised_tasks import SupervisedTasks
from ..wire.group_service import GroupService, WaitConfiguration

# Time for which a removed service waits for running statements, before it interrupts
# them.
_RETIREMENT_TIMEOUT_S = 60.0
_RETIREMENT_TICK_S = 0.1
# An unused group may be monitored for this time beyond its lifetime.
_REVIEW_INTERVAL_S = 30.0


class GroupServices:
    """Services of the database groups that this instance monitors.

    Parameters
    ----------
    settings : ProxySettings
        Settings of the process.
    platform : Platform
        The platform's service.
    wait_configuration : callable
        Returns the configuration once it may be served; takes the deadline
        in monotonic time.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of randomness.
    events : EventRecorder
        Recorder of the process's events.
    tasks : SupervisedTasks
        Runs the monitors, the pools and the updates of connection shares.
    """

    __slots__ = (
        "_clock",
        "_configured_specs",
        "_events",
        "_platform",
        "_rng",
        "_monitor_scopes",
        "_services",
        "_settings",
        "_shares",
        "_running_specs",
        "_tasks",
        "_group_use",
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
        tasks: SupervisedTasks,
    ):
        self._settings = settings
        self._platform = platform
        self._wait_configuration = wait_configuration
        self._clock = clock
        self._rng = rng
        self._events = events
        self._tasks = tasks
        self._shares = ShareUpdater(settings.instance, platform, clock, rng)
        tasks.start_loop(self._shares.run)
        self._configured_specs: dict[str, DatabaseGroupSpec] = {}
        self._group_use = GroupUse()
        tasks.start_loop(self._review_periodically)
        self._services: dict[str, GroupService] = {}
        self._monitor_scopes: dict[str, anyio.CancelScope] = {}
        self._running_specs: dict[str, DatabaseGroupSpec] = {}

    def find(self, name: str) -> GroupService:
        """Return the service of a group for a request; start it if it does not run.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE if the configuration has no such group.
        """
        self._group_use.record_use(name, self._clock.now())
        service = self._services.get(name)
        if service is not None:
            return service
        spec = self._configured_specs.get(name)
        if spec is None:
            raise CodedError(ResultCode.UNKNOWN_DATABASE, f"no group {name!r}")
        return self._start_service(name, spec)

    def running_services(self) -> dict[str, GroupService]:
        """Return the running services by the names of their groups."""
        return dict(self._services)

    @property
    def count(self) -> int:
        """Number of groups whose services run."""
        return len(self._services)

    @property
    def count_without_primary(self) -> int:
        """Number of groups without a known primary, which accept no writes."""
        return sum(
            service.monitor.primary is None for service in self._services.values()
        )

    def find_pool(self, group: str, database: str) -> ConnectionPool | None:
        """Return the pool of a database, or None if there is none."""
        service = self._services.get(group)
        return service.find_pool(database) if service is not None else None

    def apply(self, configuration: Configuration) -> None:
        """Start, replace and stop services according to a configuration."""
        self._configured_specs = configuration.groups
        self._review_services()

    async def _review_periodically(self) -> None:
        while True:
            await anyio.sleep(_REVIEW_INTERVAL_S)
            self._review_services()

    def _review_services(self) -> None:
        now = self._clock.now()
        for name, service in self._services.items():
            if service.running_count:
                self._group_use.record_use(name, now)
        groups_to_watch = self._group_use.groups_to_watch(self._configured_specs, now)
        for name in list(self._services):
            spec = self._configured_specs.get(name)
            if spec is None or name not in groups_to_watch:
                self._stop_service(name)
            elif spec != self._running_specs[name]:
                self._replace_service(name, spec)
        for name in groups_to_watch - self._services.keys():
            self._start_service(name, self._configured_specs[name])

    def _replace_service(self, name: str, spec: DatabaseGroupSpec) -> None:
        """Restart a changed group's service, with the pools of unchanged databases."""
        kept = _unchanged_databases(self._running_specs[name], spec)
        pools = self._services[name].remove_pools(kept)
        self._stop_service(name)
        self._start_service(name, spec, pools)

    def _start_service(
        self,
        name: str,
        spec: DatabaseGroupSpec,
        kept_pools: Mapping[str, ConnectionPool] = MappingProxyType({}),
    ) -> GroupService:
        monitor = GroupMonitor(
            name,
            spec,
            self._platform,
            self._open_connection,
            self._clock,
            self._rng,
            self._events,
            self._settings.instance,
            self._settings.availability_zone,
        )
        scope = anyio.CancelScope()
        self._running_specs[name] = spec
        self._monitor_scopes[name] = scope
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
            self._add_shares(name, spec, database, pool)
        for database in spec.databases:
            # Shares of connections are requested before the first use.
            service.add_database(database.name, parse_address(database.address))
        self._tasks.start_soon(self._run_monitor, monitor, scope)
        return service

    async def aclose(self) -> None:
        """Stop all services, then release their shares of connections."""
        for scope in self._monitor_scopes.values():
            scope.cancel()
        for service in list(self._services.values()):
            await service.aclose()
        await self._shares.release()

    def _stop_service(self, name: str) -> None:
        scope = self._monitor_scopes.pop(name)
        self._services[name].monitor.stop_reconciling()
        del self._running_specs[name]
        service = self._services.pop(name)
        for database in service.databases():
            self._shares.remove(name, database)
        self._tasks.start_soon(self._retire_service, service, scope)

    async def _retire_service(
        self, service: GroupService, scope: anyio.CancelScope
    ) -> None:
        """Stop a service after its running work, commits that wait included."""
        with anyio.move_on_after(_RETIREMENT_TIMEOUT_S):
            await service.aclose()
            while service.running_count:
                await anyio.sleep(_RETIREMENT_TICK_S)
            await anyio.sleep(self._settings.acknowledge_timeout_ms / 1000)
        scope.cancel()

    async def _run_monitor(
        self, monitor: GroupMonitor, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await self._tasks.run_loop(monitor.run)

    def _make_pool(
        self, group: str, spec: DatabaseGroupSpec, database: str, address: Address
    ) -> ConnectionPool:
        login = Login(spec.user, group, spec.password)
        database_pool = DatabasePool(
            PoolSettings(
                slot_limit=spec.slot_limit, report_slot_limit=0, connection_limit=0
            )
        )
        pool = ConnectionPool(
            database,
            database_pool,
            lambda _organisation: self._open_connection(address, login),
            self._clock,
            self._tasks,
            lambda silent_connection: self._probe_statement(
                silent_connection, address, login
            ),
        )
        self._tasks.start_loop(pool.run)
        self._add_shares(group, spec, database, pool)
        return pool

    def _add_shares(
        self, group: str, spec: DatabaseGroupSpec, database: str, pool: ConnectionPool
    ) -> None:
        limits = ShareLimits(spec.connection_limit, spec.report_slot_limit)
        self._shares.add(group, database, limits, spec.slot_limit, pool)

    async def _probe_statement(
        self, silent_connection: EndpointConnection, address: Address, login: Login
    ) -> bool | None:
        probe = await self._open_connection(address, login)
        try:
            return await is_statement_running(probe, silent_connection.process_id)
        finally:
            await probe.aclose()

    async def _open_connection(
        self, address: Address, login: Login
    ) -> EndpointConnection:
        with anyio.move_on_after(self._settings.connect_timeout_ms / 1000):
            return await open_connection(address, login)
        raise CodedError(
            ResultCode.ENDPOINT_UNREACHABLE,
            f"{address}: no answer within the connect timeout",
        )


def _unchanged_databases(old: DatabaseGroupSpec, new: DatabaseGroupSpec) -> set[str]:
    """Return the databases whose address and credentials did not change."""
    if (old.user, old.password) != (new.user, new.password):
        return set()
    old_addresses = {database.name: database.address for database in old.databases}
    return {
        database.name
        for database in new.databases
        if old_addresses.get(database.name) == database.address
    }
