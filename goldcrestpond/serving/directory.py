"""Holds what this process serves: routes, services and their databases."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..endpoint.connection_pool import ConnectionPool
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..placement.rendezvous import compute_weight
from ..pool.compute_start_delay import compute_start_delay
from ..pool.database_pool import DatabasePool
from ..pool.pace_reason import PaceReason
from ..pool.pool_settings import PoolSettings
from ..relay.choose_holder import choose_holder
from ..relay.holders import Holders
from ..relay.relay_pool import RelayPool
from ..relay.switched_pool import SwitchedPool
from ..retry.retry_budget import RetryBudget
from ..tasks.supervised_tasks import SupervisedTasks
from .connection_share import connection_share, holder_count, statement_share
from .database import Database
from .database_pace import make_database_pace
from .decision_log import DecisionLog
from .highest_acknowledged import HighestAcknowledged, combine_acknowledged
from .leader_verifier import LeaderVerifier
from .link import Link
from .members import Member
from .metrics import Metrics
from .registry import Registry
from .route import Route
from .route_table import RouteTable, ServiceLimits
from .served_database import ServedDatabase
from .service import Service
from .serving_settings import ServingSettings

# Commits in flight are answered within milliseconds unless the leader is silent.
BLOCK_TIMEOUT = timedelta(milliseconds=300)
OpenLink = Callable[[Database], Awaitable[Link]]
_UNKNOWN_LIMITS = ServiceLimits(connection_limit=8, synchronous_replicas=0)


class Directory:
    """The routes in force, the registry and a `Service` for each service.

    Attributes
    ----------
    table : RouteTable
        The configuration in force.
    registry : Registry
        The listed databases.
    clock : Clock
        Source of the time.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Receives log events.
    metrics : Metrics
        Counters and latencies.
    services : dict of str to Service
        Services by name.
    """

    __slots__ = (
        "_holder_counts",
        "_holders",
        "_is_held",
        "_leader_verifiers",
        "_members",
        "_open_link",
        "_retry_budgets",
        "_settings",
        "_tasks",
        "clock",
        "log",
        "metrics",
        "registry",
        "rng",
        "services",
        "table",
    )

    def __init__(
        self,
        settings: ServingSettings,
        open_link: OpenLink,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        metrics: Metrics,
        tasks: SupervisedTasks,
        holders: Holders,
    ):
        self.table = RouteTable()
        self.registry = Registry()
        self.clock = clock
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.services: dict[str, Service] = {}
        self._settings = settings
        self._open_link = open_link
        self._tasks = tasks
        self._leader_verifiers: dict[str, LeaderVerifier] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._holders = holders
        self._members: list[Member] = []
        self._is_held: dict[str, bool] = {}
        self._holder_counts: dict[str, int] = {}

    @property
    def member_count(self) -> int:
        """Number of live instances that share the connections; 0 while unknown."""
        return len(self._members)

    def holds(self, service: str) -> bool:
        """Return whether this instance holds connections to a service.

        It holds none before it knows the members: a whole fleet that starts at once
        would open more connections than a database accepts.
        """
        return self._is_held.get(service, False)

    def holds_any(self) -> bool:
        """Return whether this instance holds connections to any service."""
        return any(self._is_held.values())

    def holder_count(self, service: str) -> int:
        """Return how many instances hold connections to a service."""
        return self._holder_counts.get(service, self.member_count)

    def holder_names(self, service: str) -> list[str]:
        """Return the names of the instances that hold connections to a service."""
        return self._holders.holder_names(service)

    def route(self, database: str) -> Route:
        """Return the route for a database name.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE if no route has the name.
        """
        route = self.table.routes.get(database)
        if route is None:
            detail = f"no route in version {self.table.version}: {database!r}"
            raise CodedError(ResultCode.UNKNOWN_DATABASE, detail)
        return route

    def service(self, name: str) -> Service:
        """Return a service; create it on first use, even without databases."""
        service = self.services.get(name)
        if service is None:
            service = Service(
                name, self.registry, self._settings, self.clock, self.rng, self.log
            )
            self.services[name] = service
            self._leader_verifiers[name] = self._make_leader_verifier(service)
            self._retry_budgets[name] = RetryBudget(self.clock.now())
            self._assign_holders(service)
        return service

    def leader_verifier(self, service: str) -> LeaderVerifier:
        """Return the leader verifier of a service."""
        return self._leader_verifiers[service]

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._retry_budgets[service]

    def apply_table(self, table: RouteTable) -> bool:
        """Put a configuration in force unless one as new already is.

        Returns
        -------
        bool
            False if the configuration was ignored.
        """
        if table.version <= self.table.version:
            return False
        self.log.decision(
            "configuration in force",
            version=table.version,
            former=self.table.version,
            routes=len(table.routes),
        )
        self.table = table
        self.apply_shares()
        return True

    def set_members(self, members: list[Member]) -> None:
        """Share the connections of all databases among these instances."""
        if members == self._members:
            return
        self.log.decision("members", count=len(members), former=len(self._members))
        self._members = members
        self.apply_shares()

    def apply_registry(self) -> None:
        """Update the databases of all services from the registry."""
        self.registry.remove_unlisted(self.clock.now())
        listed = {d.database_id: d for d in self.registry.databases()}
        for service in self.services.values():
            for database_id, served in list(service.databases.items()):
                current = listed.get(database_id)
                if current is None or _is_replaced(served.database, current):
                    self._remove_database(service, served)
        for database in listed.values():
            service = self.service(database.service)
            served = service.databases.get(database.database_id)
            if served is None:
                service.databases[database.database_id] = self._add_database(database)
            else:
                served.database = database
            service.notify_change()

    def remove_unlisted(self) -> None:
        """Remove databases that were unlisted for longer than the grace time."""
        if self.registry.remove_unlisted(self.clock.now()):
            self.apply_registry()

    def gauges(self) -> dict[str, float]:
        """Return the gauge metrics: version, members, and the load of each database."""
        values: dict[str, float] = {
            "configuration_version": self.table.version,
            "members": self.member_count,
        }
        for service in self.services.values():
            for served in service.databases.values():
                label = f'{{service="{service.name}",database="{served.database_id}"}}'
                values[f"endpoint_connections{label}"] = served.pool.open_count
                values[f"endpoint_running{label}"] = served.pool.running_count
                values[f"endpoint_demand{label}"] = served.pool.demand
                if served.pace.is_active:
                    window = served.pace.window(self.clock.now())
                    values[f"endpoint_pace_window{label}"] = window
        return values

    def apply_shares(self) -> None:
        """Update the share of each pool from the configuration and the members."""
        for service in self.services.values():
            self._assign_holders(service)
            for served in service.databases.values():
                self._apply_share(served)

    async def block_commits(
        self, service: str, previous_leader_id: str
    ) -> HighestAcknowledged:
        """Block commits to a leader on all instances.

        Parameters
        ----------
        service : str
            Service of the leader.
        previous_leader_id : str
            Its id; empty if unknown.

        Returns
        -------
        HighestAcknowledged
            The highest position that any instance saw acknowledged.
        """
        answers: list[tuple[str, LogPosition | None]] = []

        async def ask_others() -> None:
            answers.extend(
                await self._holders.block_commits(
                    service, previous_leader_id, BLOCK_TIMEOUT
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_others)
            own_position = await self.service(service).block_commits(
                previous_leader_id, BLOCK_TIMEOUT
            )
        answers.append((self._settings.instance, own_position))
        return combine_acknowledged(answers)

    async def unblock_commits(self, service: str) -> None:
        """Unblock commits on all instances, since the leader is not replaced."""
        self.service(service).commit_tracker.unblock_commits()
        await self._holders.unblock_commits(service, BLOCK_TIMEOUT)

    async def aclose(self) -> None:
        """Close all connections."""
        for leader_verifier in list(self._leader_verifiers.values()):
            await leader_verifier.aclose()
        for service in self.services.values():
            for served in service.databases.values():
                served.pool.close_all("shutting down")

    def _add_database(self, database: Database) -> ServedDatabase:
        pace = None
        if self._settings.is_paced:
            pace = make_database_pace(
                self.services[database.service],
                database.database_id,
                lambda: self.holds(database.service),
            )
        database_pool = DatabasePool(
            PoolSettings(
                probe_reserve=0,
                idle_timeout=_IDLE_TIMEOUT,
                connection_limit=1,
                limit_growth_interval=_LIMIT_GROWTH_INTERVAL,
            ),
            pace=pace,
        )
        own = ConnectionPool(
            database.database_id,
            database_pool,
            lambda: self._open_in_time(served.database),
            self.clock,
            self._tasks,
            _cannot_tell_if_running,
        )
        name = database.service
        borrowed = RelayPool(
            name,
            database.database_id,
            lambda: self._holders.other_holders(name),
            self._settings.availability_zone,
            self.clock,
            self.rng,
        )
        pool = SwitchedPool(own, borrowed, lambda: self.holds(name))
        served = ServedDatabase(database, pool, pace)
        self._tasks.start_loop(served.pool.run)
        self._apply_share(served)
        self._begin_pace(served, PaceReason.LISTED)
        self.log.decision(
            "database listed",
            database=database.database_id,
            service=database.service,
            address=str(database.address),
            role=database.role,
        )
        return served

    def _remove_database(self, service: Service, served: ServedDatabase) -> None:
        del service.databases[served.database_id]
        service.unlisted.append((served.database, self.clock.now()))
        self.log.decision(
            "database gone", database=served.database_id, service=service.name
        )
        served.pool.start_draining()
        self._tasks.start_soon(served.pool.aclose)

    def _apply_share(self, served: ServedDatabase) -> None:
        database = served.database
        limits = self.table.services.get(database.service, _UNKNOWN_LIMITS)
        holders = self.holder_count(database.service)
        share = connection_share(limits.connection_limit, holders)
        statements = statement_share(share, database.slots, holders)
        if not self.holds(database.service):
            share = 0
        served.pool.set_limits(share, statements, 1)

    def _assign_holders(self, service: Service) -> None:
        limits = self.table.services.get(service.name)
        if not self._members or limits is None:
            return
        count = holder_count(limits.connection_limit, len(self._members))
        is_held = self._holders.assign(service.name, self._members, count)
        self._holder_counts[service.name] = count
        if is_held != self.holds(service.name):
            self.log.decision(
                "holder", service=service.name, holds=is_held, holders=count
            )
            if not is_held:
                self._tasks.start_soon(self._leader_verifiers[service.name].aclose)
        has_changed = is_held != self.holds(service.name)
        self._is_held[service.name] = is_held
        for served in service.databases.values() if has_changed else ():
            served.pace.stop()
            self._begin_pace(served, PaceReason.HOLDER)

    def _begin_pace(self, served: ServedDatabase, reason: PaceReason) -> None:
        # By weight for this database, so that the first ones differ between databases
        # and are not all of one availability zone.
        names = sorted(
            self.holder_names(served.database.service),
            key=lambda name: compute_weight(served.database_id, name),
        )
        own = self._settings.instance
        rank = names.index(own) if own in names else 0
        served.pace.begin(reason, self.clock.now(), compute_start_delay(rank))

    async def _verify_through_holder(
        self, service: str, wait: timedelta
    ) -> tuple[str, LogPosition]:
        holder = choose_holder(
            self._holders.other_holders(service),
            self._settings.availability_zone,
            self.clock.now(),
            self.rng,
        )
        if holder is None:
            raise CodedError(ResultCode.PEER_UNREACHABLE, f"{service}: no holder")
        return await self._holders.verify_leader(service, holder, wait)

    def _make_leader_verifier(self, service: Service) -> LeaderVerifier:
        return LeaderVerifier(
            service,
            lambda served: self._open_in_time(served.database),
            self._settings,
            self.clock,
            self._tasks,
            lambda: self.holds(service.name),
            lambda wait: self._verify_through_holder(service.name, wait),
        )

    async def _open_in_time(self, database: Database) -> Link:
        limit_s = self._settings.connect_timeout.total_seconds()
        try:
            with anyio.fail_after(limit_s):
                return await self._open_link(database)
        except TimeoutError as error:
            detail = f"{database.database_id}: no connection in time"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error


# Opening a connection takes one of the database's slots, so idle connections are kept
# for a while. They aren't kept longer since a database counts the connections of a
# crashed instance for seconds.
_IDLE_TIMEOUT = timedelta(seconds=5)


# A full database closes the connections of crashed instances within 3 s, all at once,
# so the estimate of its connection limit rises fast.
_LIMIT_GROWTH_INTERVAL = timedelta(milliseconds=500)


def _is_replaced(known: Database, current: Database) -> bool:
    is_moved = known.address != current.address or known.service != current.service
    return is_moved or known.started_at_ms != current.started_at_ms


async def _cannot_tell_if_running(_silent_connection: object) -> bool | None:
    return None
