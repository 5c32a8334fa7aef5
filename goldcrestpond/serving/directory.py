"""Holds what this process serves: routes, services and their databases."""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..endpoint.connection_pool import ConnectionPool
from ..endpoint.pool_gauges import read_pool_gauges
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..placement.organisation_homes import OrganisationHomes
from ..placement.rendezvous import compute_weight
from ..pool.compute_start_delay import compute_start_delay
from ..pool.database_pool import DatabasePool
from ..pool.pace_reason import PaceReason
from ..pool.pool_settings import PoolSettings
from ..rates.handover import Handover, TableVersion
from ..rates.rate_role import RateRole
from ..relay.choose_holder import choose_holder
from ..relay.choose_holder_names import choose_holder_names
from ..relay.holder import Holder
from ..relay.holders import Holders
from ..relay.home_holders import HomeHolders
from ..relay.meter_client import MeterClient
from ..relay.organisation_pool import OrganisationPool
from ..relay.relay_pool import RelayPool
from ..relay.switched_pool import SwitchedPool
from ..retry.retry_budget import RetryBudget
from ..tasks.supervised_tasks import SupervisedTasks
from .absence import should_mark
from .commit_block import CommitBlock
from .connection_share import (
    MIN_SHARE_CONNECTIONS,
    connection_share,
    divide_connections,
    holder_count,
    restart_share,
    statement_share,
    weigh_holders,
    weighted_statement_share,
)
from .database import Database
from .database_pace import make_database_pace
from .decision_log import DecisionLog
from .fleet_protocol import HOLDERS_BY_SERVICE, find_fleet_protocol
from .highest_acknowledged import (
    HighestAcknowledged,
    InstanceAnswer,
    combine_acknowledged,
)
from .home_admission import HomeAdmission
from .home_role import HomeRole
from .home_table import HomeTable
from .leader_verifier import LeaderVerifier
from .link import Link
from .members import Member
from .metrics import Metrics
from .organisation import Organisation
from .registry import Registry
from .route import Route
from .route_table import RouteTable, ServiceLimits
from .served_database import ServedDatabase
from .service import Service
from .serving_settings import ServingSettings

UNBLOCK_TIMEOUT = timedelta(milliseconds=300)  # a block that is not ended expires
# A share of connections that grows is taken this much later: changes of the members
# and of the configuration reach all instances within about this time.
SHARE_GROWTH_DELAY = timedelta(milliseconds=500)
# A database counts the connections of instances that lost power for 3 s; these are back
# a second later at the earliest.
RESTART_SPAN = timedelta(seconds=2)
# Channels to so many holders are opened before they are needed, so many at a time.
AHEAD_HOLDERS_MAX = 32
AHEAD_CHANNELS_COUNT = 4
# A log line names at most this many organisations.
LOGGED_NAMES_MAX = 10
OpenLink = Callable[..., Awaitable[Link]]
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
    homes : HomeTable
        Which holders serve each organisation.
    admission : HomeAdmission
        Admits operations of organisations at this instance, and charges their rates.
    read_members_version : callable
        Returns the era of the store, and the version of the last change of the members'
        rows.
    """

    __slots__ = (
        "_absent",
        "_blocks_at_start",
        "_holder_counts",
        "_holders",
        "_is_held",
        "_is_listed",
        "_growth_due_at",
        "_growth_targets",
        "_has_left",
        "_leader_verifiers",
        "_members",
        "_members_by_name",
        "_meter_client",
        "_open_link",
        "_placed",
        "_restart_ends_at",
        "_retry_budgets",
        "_roles",
        "_settings",
        "_shares",
        "_tasks",
        "_was_listed_at_start",
        "admission",
        "clock",
        "homes",
        "log",
        "metrics",
        "read_members_version",
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
        self._members_by_name: dict[str, Member] = {}
        # Names of the holders of each service.
        self._placed: dict[str, list[str]] = {}
        self._is_held: dict[str, bool] = {}
        self._holder_counts: dict[str, int] = {}
        # Connections that this instance may open, by database id.
        self._shares: dict[str, int] = {}
        self._growth_due_at: dict[str, timedelta] = {}
        self._growth_targets: dict[str, int] = {}
        self._absent: frozenset[str] = frozenset()
        self._has_left = False
        self._roles: dict[str, RateRole] = {}
        self._restart_ends_at = clock.now() + RESTART_SPAN
        self._is_listed = True
        self._blocks_at_start = False
        self._was_listed_at_start = False
        self.homes = HomeTable(settings.instance)
        self.admission = HomeAdmission(self.homes, clock)
        self.read_members_version: Callable[[], tuple[int, int]] = lambda: (0, 0)
        self.admission.on_standby_use = self._probe_homes
        self.admission.on_reserve_use = self._probe_meters
        self._meter_client = MeterClient(
            self._find_meters, self.admission, clock, rng, tasks
        )

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

    @property
    def protocol(self) -> int:
        """Version of the rules that all instances follow."""
        return find_fleet_protocol(self._members)

    def other_holders(self, service: str) -> list[Holder]:
        """Return the other instances that hold connections to a service."""
        return self._holders.other_holders(service)

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
            if self._blocks_at_start:
                self._block_at_start(service)
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
        if self.admission.meter is not None:
            organisations = self._organisations() or {}
            self.admission.meter.set_limits(organisations, self.clock.now())
        self.apply_shares()
        return True

    def set_members(
        self,
        members: list[Member],
        absent: frozenset[str] = frozenset(),
        is_listed: bool = True,
    ) -> None:
        """Share the connections of all databases among these instances.

        Parameters
        ----------
        members : list of Member
            The live instances, this one included.
        absent : frozenset of str
            Names of those that do not answer; organisations have no home there.
        is_listed : bool, default=True
            Whether this instance is a member in the view of the others.
        """
        is_same = members == self._members
        is_status_same = (absent, is_listed) == (self._absent, self._is_listed)
        self._absent, self._is_listed = absent, is_listed
        if not self._members:
            is_home_possible = self._settings.instance not in absent
            self._was_listed_at_start = is_listed and is_home_possible
        elif not (is_same and is_status_same):
            # The listing at the start proves nothing once the members have changed.
            self._was_listed_at_start = False
        # Only homes depend on who is absent or listed.
        if is_same and (is_status_same or self._organisations() is None):
            return
        self.log.decision(
            "members",
            count=len(members),
            former=len(self._members),
            absent=sorted(absent),
            is_listed=is_listed,
        )
        self._members = members
        self._members_by_name = {member.name: member for member in members}
        self.apply_shares()

    def silent_homes(self) -> list[tuple[str, timedelta]]:
        """Return the homes that should be marked absent, and how long each is silent.

        None while the own tables are not proven to be fresh.
        """
        if self.homes.organisations is None or not self.admission.is_proven():
            return []
        stood_by = self.homes.stood_by()
        silent = []
        for name in sorted(self.homes.home_names()):
            member = self._find_other_member(name)
            silence = member and self._holders.peer(member).watch.silence()
            if should_mark(silence, name in stood_by):
                silent.append((name, silence))
        return silent

    def state_version(self) -> TableVersion:
        """Return the state of the tables that decide who serves an organisation."""
        return (*self.read_members_version(), self.table.version)

    def stop_serving_organisations(self) -> None:
        """Be the home of no organisation any more, and hand over to the next homes.

        For an instance that is leaving, if it is not known in time that the members'
        table lacks it.
        """
        if not self._has_left:
            self._has_left = True
            self._assign_homes()

    def home_holders(self, service: str, organisation: str) -> HomeHolders:
        """Return the instances that serve an organisation at a service."""
        return self._to_holders(
            self.homes.homes(service, organisation),
            self.homes.role(service, organisation),
        )

    def _find_meters(self, organisation: str) -> HomeHolders:
        """Return the instances that meter an organisation."""
        return self._to_holders(
            self.homes.meters(organisation), self.homes.meter_role(organisation)
        )

    def _to_holders(self, homes: OrganisationHomes, own_role: HomeRole) -> HomeHolders:
        others = map(self._find_other_member, homes.homes)
        standby = self._find_other_member(homes.standby)
        return HomeHolders(
            own_role,
            tuple(self._holders.peer(member) for member in others if member),
            self._holders.peer(standby) if standby else None,
            self.homes.has_one_meter,
        )

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

    def open_ahead(self) -> None:
        """Open channels to holders, and connections for organisations of this home."""
        self._open_channels_ahead()
        if self.homes.organisations is None or not self._is_member:
            return
        for service in self.services.values():
            if self.holds(service.name):
                service.open_ahead(self.homes.expected(service.name))

    def _open_channels_ahead(self) -> None:
        names = {name for names in self._placed.values() for name in names}
        members = map(self._find_other_member, sorted(names)[:AHEAD_HOLDERS_MAX])
        holders = [self._holders.peer(member) for member in members if member]
        unopened = [holder for holder in holders if not holder.has_opened]
        for holder in unopened[:AHEAD_CHANNELS_COUNT]:
            self._tasks.start_soon(holder.open_ahead)

    def remove_unlisted(self) -> None:
        """Remove databases that were unlisted for longer than the grace time."""
        if self.registry.remove_unlisted(self.clock.now()):
            self.apply_registry()

    def gauges(self) -> dict[str, float]:
        """Return the gauge metrics: version, members, rates, load of each database."""
        values: dict[str, float] = {
            "configuration_version": self.table.version,
            "members": self.member_count,
        }
        if self.homes.organisations is not None:
            roles = self._roles.values()
            values["organisations"] = len(self.homes.organisations)
            values["homes"] = sum(role.main_share > 0 for role in roles)
            values["standbys"] = sum(role.standby_share > 0 for role in roles)
            values["absent_members"] = len(self._absent)
        if self.admission.meter is not None:
            values.update(self.admission.meter.gauges())
        for service in self.services.values():
            for served in service.databases.values():
                label = f'{{service="{service.name}",database="{served.database_id}"}}'
                values[f"endpoint_connections{label}"] = served.pool.open_count
                values[f"endpoint_running{label}"] = served.pool.running_count
                values[f"endpoint_demand{label}"] = served.pool.demand
                if served.pace.is_active:
                    window = served.pace.window(self.clock.now())
                    values[f"endpoint_pace_window{label}"] = window
                values.update(
                    read_pool_gauges(
                        served.pool.local_pool, service.name, served.database_id
                    )
                )
        return values

    def apply_shares(self) -> None:
        """Update the share of each pool from the configuration and the members."""
        self._placed = self._place_holders(self._members)
        for service in self.services.values():
            self._assign_holders(service)
        self._assign_homes()
        for service in self.services.values():
            for served in service.databases.values():
                self._apply_share(served)

    async def block_commits(
        self, block: CommitBlock, max_wait: timedelta
    ) -> HighestAcknowledged:
        """Block commits to a service on all instances while its leader is replaced.

        Parameters
        ----------
        block : CommitBlock
            The service, and under which claim. Each instance unblocks commits when it
            has verified the candidate as the leader.
        max_wait : timedelta
            How long to wait for commits in flight.

        Returns
        -------
        HighestAcknowledged
            The highest position that any instance saw acknowledged.
        """
        answers: list[InstanceAnswer] = []

        async def ask_others() -> None:
            answers.extend(await self._holders.block_commits(block, max_wait))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_others)
            service = self.service(block.service)
            own_position = await service.block_commits(block, max_wait)
        answers.append(
            InstanceAnswer(
                self._settings.instance,
                own_position,
                known_position=service.commit_tracker.known_acknowledged,
                has_in_flight=not service.commit_tracker.is_idle,
            )
        )
        combined = combine_acknowledged(answers)
        # Kept for later attempts, in which another instance may not answer.
        service.commit_tracker.record_known_acknowledged(combined.known_position)
        return combined

    def begin_start_block(self) -> None:
        """Block commits to each service until `end_start_block` is called.

        The block expires unless this is called again.
        """
        self._blocks_at_start = True
        for service in self.services.values():
            self._block_at_start(service)

    def _block_at_start(self, service: Service) -> None:
        block = CommitBlock(service.name, 0, "")
        service.commit_tracker.block_commits(block, self.clock.now())
        service.commit_tracker.give_up_in_flight()

    def end_start_block(self) -> None:
        """Send commits to the services that no attempt is known to block."""
        self._blocks_at_start = False
        for service in self.services.values():
            service.unblock_commits(0)

    async def unblock_commits(self, service: str, token: int) -> None:
        """Unblock commits on all instances: nothing is pending under this token."""
        self.service(service).unblock_commits(token)
        await self._holders.unblock_commits(service, token, UNBLOCK_TIMEOUT)

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
            lambda organisation: self._open_in_time(served.database, organisation),
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
        at_homes = OrganisationPool(
            name,
            database.database_id,
            own,
            borrowed,
            lambda organisation: self.home_holders(name, organisation),
            lambda: self._holders.other_holders(name),
            lambda: self.holds(name),
            self.admission,
            self._meter_client,
            self._settings.availability_zone,
            self.clock,
            self.rng,
            self.log,
        )
        pool = SwitchedPool(own, borrowed, lambda: self.holds(name), at_homes)
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
        self._shares.pop(served.database_id, None)
        service.record_removed(served.database)
        self.log.decision(
            "database gone", database=served.database_id, service=service.name
        )
        served.pool.start_draining()
        self._tasks.start_soon(served.pool.aclose)

    def _apply_share(self, served: ServedDatabase, may_grow: bool = False) -> None:
        """Set the limits of the own connections to a database.

        Parameters
        ----------
        served : ServedDatabase
            The database.
        may_grow : bool, default=False
            Whether a share that grows may be taken now.
        """
        database = served.database
        limits = self.table.services.get(database.service, _UNKNOWN_LIMITS)
        holders = self.holder_count(database.service)
        share = connection_share(limits.connection_limit, holders)
        statements = statement_share(share, database.slots, holders)
        growth_target = None
        if not self.holds(database.service):
            share = 0
        elif self.homes.organisations is not None:
            target, statements = self._compute_home_share(database, limits)
            present = self._shares.get(database.database_id, 0)
            if self.clock.now() < self._restart_ends_at:
                present = restart_share(limits.connection_limit, holders)
            share = target
            if target > present and not may_grow:
                # Other holders, whose share falls, close their connections first.
                share = max(present, MIN_SHARE_CONNECTIONS)
                growth_target = target
        self._shares[database.database_id] = share
        self._schedule_growth(database.database_id, growth_target)
        served.pool.set_limits(share, statements, 1)

    def _compute_home_share(
        self, database: Database, limits: ServiceLimits
    ) -> tuple[int, int]:
        """Return the connections and statements of this holder at a database.

        They follow the part of the organisations' rates that has its home here.
        """
        service, own = database.service, self._settings.instance
        weights = weigh_holders(
            self._holders.holder_names(service), self.homes.holder_parts(service)
        )
        share = divide_connections(limits.connection_limit, weights)[own]
        return share, weighted_statement_share(share, database.slots, weights[own])

    def _schedule_growth(self, database_id: str, target: int | None) -> None:
        """Let a share grow to a target after the delay; None if it does not grow.

        The delay begins again only with another target, so that many changes that do
        not concern the share do not put it off.
        """
        if target is None:
            self._growth_targets.pop(database_id, None)
            return
        if self._growth_targets.get(database_id) == target:
            return
        self._growth_targets[database_id] = target
        is_scheduled = database_id in self._growth_due_at
        due_at = self.clock.now() + SHARE_GROWTH_DELAY
        self._growth_due_at[database_id] = max(due_at, self._restart_ends_at)
        if not is_scheduled:
            self._tasks.start_soon(self._grow_share, database_id)

    async def _grow_share(self, database_id: str) -> None:
        try:
            while (
                wait := self._growth_due_at[database_id] - self.clock.now()
            ) > timedelta(0):
                await anyio.sleep(wait.total_seconds())
        finally:
            del self._growth_due_at[database_id]
            is_growing = self._growth_targets.pop(database_id, None) is not None
        if not is_growing:
            return
        # The database may have been listed anew meanwhile, also at another service.
        for service in self.services.values():
            served = service.databases.get(database_id)
            if served is not None:
                self._apply_share(served, may_grow=True)

    def _assign_holders(self, service: Service) -> None:
        names = self._placed.get(service.name)
        if names is None:
            return
        is_held = self._holders.assign(service.name, names, self._members)
        self._holder_counts[service.name] = len(names)
        if is_held != self.holds(service.name):
            self.log.decision(
                "holder", service=service.name, holds=is_held, holders=len(names)
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

    def _probe_homes(self, service: str, organisation: str) -> None:
        for holder in self.home_holders(service, organisation).homes:
            holder.watch.suspect()

    def _probe_meters(self, organisation: str) -> None:
        for holder in self._find_meters(organisation).homes:
            holder.watch.suspect()

    def _find_other_member(self, name: str) -> Member | None:
        """Return another member; None if it cannot be asked."""
        if name == self._settings.instance:
            return None
        member = self._members_by_name.get(name)
        return None if member is None or member.address is None else member

    def _organisations(self) -> Mapping[str, Organisation] | None:
        """Return the organisations by name; None if the configuration has none."""
        organisations = self.table.organisations
        return None if organisations is None else organisations.by_name

    def _assign_homes(self) -> None:
        """Choose the homes anew, and hand over what this instance no longer serves."""
        organisations = self._organisations()
        if organisations is None and self.homes.organisations is None:
            return
        former = self._roles
        former_meters = {name: self.homes.meters(name).homes for name in former}
        self.homes.assign(
            organisations,
            self._name_holders(),
            self._absent,
            self.protocol >= HOLDERS_BY_SERVICE,
        )
        # Others, which do not count this instance, divide the rates among themselves.
        roles = self._roles = self.homes.rate_roles() if self._is_member else {}
        lost = sorted(
            name
            for name, role in former.items()
            if role.main_share and not (name in roles and roles[name].main_share)
        )
        taken = sorted(
            name
            for name, role in roles.items()
            if role.main_share and not (name in former and former[name].main_share)
        )
        if lost or taken:
            self.log.decision(
                "homes",
                assigned=taken[:LOGGED_NAMES_MAX],
                assigned_count=len(taken),
                lost=lost[:LOGGED_NAMES_MAX],
                lost_count=len(lost),
                organisations=len(roles),
            )
        meter = self.admission.meter
        if meter is None or not self._members:
            return  # there are no roles before the members are known
        now = self.clock.now()
        version = self.state_version()
        is_resumed = self._was_listed_at_start
        if is_resumed:
            # Only the first roles are resumed.
            self._was_listed_at_start = False
            self.log.decision(
                "shares resumed",
                reason="listed at start, no member changed since",
                members=len(self._members),
                organisations=len(roles),
                version=version,
            )
        meter.set_roles(roles, now, version, is_resumed=is_resumed)
        handovers = meter.release(lost, now) if lost else []
        if handovers:
            self._hand_over(handovers, former_meters)

    @property
    def _is_member(self) -> bool:
        """Whether this instance is a member in the view of the others."""
        return self._is_listed and not self._has_left

    def _name_holders(self) -> dict[str, list[str]]:
        """Return the names of the holders of all services in the configuration.

        Also of services that this instance has not used: the meter of an organisation
        is one of the holders of all of them. An instance that is not listed takes no
        part, as in the view of all others, unless it knows of no other.
        """
        own = self._settings.instance
        others = [member for member in self._members if member.name != own]
        if self._is_member or not others:
            return self._placed
        return self._place_holders(others)

    def _place_holders(self, members: Sequence[Member]) -> dict[str, list[str]]:
        """Return the names of the holders of all services in the configuration."""
        services = self.table.services
        if not members or not services:
            return {}
        counts = {
            name: holder_count(limits.connection_limit, len(members))
            for name, limits in services.items()
        }
        has_organisations = self._organisations() is not None
        return choose_holder_names(counts, members, has_organisations)

    def _hand_over(
        self,
        handovers: Sequence[Handover],
        former_meters: Mapping[str, Sequence[str]],
    ) -> None:
        """Send what is left of former shares to the next meters, each to one."""
        by_successor: dict[str, list[Handover]] = {}
        for handover in handovers:
            organisation = handover.organisation
            meters = self.homes.meters(organisation).homes
            newcomers = [n for n in meters if n not in former_meters[organisation]]
            for name in (newcomers or meters)[:1]:
                by_successor.setdefault(name, []).append(handover)
        for member in self._members:
            if member.name in by_successor and member.address is not None:
                part = by_successor[member.name]
                self._tasks.start_soon(self._holders.hand_over, member, part)

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

    async def _open_in_time(self, database: Database, organisation: str = "") -> Link:
        limit_s = self._settings.connect_timeout.total_seconds()
        named = (organisation,) if organisation else ()
        try:
            with anyio.fail_after(limit_s):
                return await self._open_link(database, *named)
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
