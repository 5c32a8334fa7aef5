"""Monitors one database group for one instance of the proxy."""

import random
from collections.abc import Callable, Collection
from datetime import timedelta

import anyio
from anyio.abc import TaskStatus

from ..clock.clock import Clock
from ..configuration.database_group_spec import DatabaseGroupSpec
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..events.recorder import EventRecorder
from ..group.database_status import DatabaseStatus
from ..group.log_position import LogPosition
from ..routing.database_load import DatabaseLoad
from ..routing.replica_choice import ReplicaChoice
from ..settings.address import Address, parse_address
from ..store.platform import Platform
from ..term.failure_kind import FailureKind
from ..term.group_view import GroupView
from ..term.primary_health import PrimaryHealth
from ..term.primary_monitor import PrimaryMonitor
from ..term.primary_view import PrimaryView
from ..term.replaced_primary import ReplacedPrimary
from ..term.status_sample import StatusSample
from .group_monitor_control import GroupControl
from .group_monitor_followers import FollowerUpdater
from .group_monitor_poller import ConnectionOpener, DatabasePoller
from .group_monitor_promoter import Promoter
from .group_monitor_reconciler import GroupReconciler
from .group_monitor_record import GroupRecord
from .group_monitor_router import ReplicaRouter
from .group_monitor_waits import PositionWaits
from .group_monitor_wakeup import Wakeup
from .login import Login

# Time for which a poll of a majority verifies the primary; longer than the interval
# between polls of an idle group.
VERIFICATION_LIFETIME = timedelta(seconds=5)
# Time after which a caller should retry; most failovers have finished by then.
FAILOVER_RETRY_AFTER_MS = 1000

_UNUSABLE_HEALTH = (PrimaryHealth.DEAD, PrimaryHealth.STALLED)


def _ignore_replaced(replaced: ReplacedPrimary) -> None:
    """Ignore a replaced primary; the default of ``on_replaced``."""


class GroupMonitor:
    """Tracks the state of one database group and performs its failovers.

    The monitor polls the status of every database of the group. The statuses show
    which database is the primary, which commits a majority of the databases holds, and
    which replicas are fresh enough for a read. If the primary fails or is drained, the
    monitor promotes another database.

    Attributes
    ----------
    on_replaced : callable
        Receives a ``ReplacedPrimary`` once for each primary whose commits can no
        longer be confirmed.

    Parameters
    ----------
    group : str
        Name of the group.
    spec : DatabaseGroupSpec
        The group's databases and the login for them.
    platform : Platform
        Client of the platform's table, which stores the record of the group's terms.
    open_connection : callable
        Opens a connection: ``await open_connection(address, login)``.
    clock : Clock
        Source of monotonic time; deadlines are times of the same clock.
    rng : random.Random
        Source of randomness.
    recorder : EventRecorder
        Records the events of the time line.
    instance : str
        Name of this instance, unique among the live ones.
    availability_zone : str, default=""
        Availability zone of this instance.
    """

    __slots__ = (
        "_addresses",
        "_changed",
        "_clock",
        "_group",
        "_is_reconciling",
        "_login",
        "_open_connection",
        "_pollers",
        "_primary_monitor",
        "_reconciler",
        "_reconciler_scope",
        "_router",
        "_view",
        "_waits",
        "on_replaced",
    )

    def __init__(
        self,
        group: str,
        spec: DatabaseGroupSpec,
        platform: Platform,
        open_connection: ConnectionOpener,
        clock: Clock,
        rng: random.Random,
        recorder: EventRecorder,
        instance: str,
        availability_zone: str = "",
    ):
        self._group = group
        self._open_connection = open_connection
        self._clock = clock
        self._login = Login(spec.user, group, spec.password)
        self._addresses = {
            database.name: parse_address(database.address)
            for database in spec.databases
        }
        self._view = GroupView(self._addresses)
        self._waits = PositionWaits(self._view, clock)
        self._primary_monitor = PrimaryMonitor(self._view)
        self.on_replaced: Callable[[ReplacedPrimary], None] = _ignore_replaced
        self._changed = Wakeup()
        self._router = ReplicaRouter(
            self._view,
            {
                database.name: database.availability_zone in ("", availability_zone)
                for database in spec.databases
            },
            rng,
        )
        self._pollers = {
            name: self._new_poller(name, address)
            for name, address in self._addresses.items()
        }
        identity = f"{instance}/{rng.getrandbits(64):016x}"
        self._is_reconciling = True
        self._reconciler_scope: anyio.CancelScope | None = None
        self._reconciler = self._new_reconciler(identity, platform, rng, recorder)

    def _new_reconciler(
        self,
        identity: str,
        platform: Platform,
        rng: random.Random,
        recorder: EventRecorder,
    ) -> GroupReconciler:
        control = GroupControl(self._addresses, self._login, self._open_connection)
        record = GroupRecord(self._group, platform, identity)
        promoter = Promoter(
            self._group,
            identity,
            self._view,
            control,
            record,
            self._clock,
            recorder,
            self._add_status,
        )
        return GroupReconciler(
            self._view,
            promoter,
            FollowerUpdater(self._view, control, self._clock),
            record,
            control,
            identity,
            platform,
            self._clock,
            rng,
            self._changed,
            primary_health=self._primary_health,
            request_polls=self._request_all_polls,
            on_term_start=self._router.record_term_start,
        )

    def _new_poller(self, name: str, address: Address) -> DatabasePoller:
        return DatabasePoller(
            name,
            address,
            self._login,
            self._open_connection,
            self._clock,
            on_sample=self._add_sample,
            on_failure=self._record_failure,
            is_awaited=self._is_awaited,
            is_suspect=self._is_suspect,
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the databases and reconcile the group until cancelled."""
        async with anyio.create_task_group() as tasks:
            for poller in self._pollers.values():
                tasks.start_soon(poller.run)
            tasks.start_soon(self._run_reconciler)
            task_status.started()

    @property
    def primary(self) -> PrimaryView | None:
        """The primary, or None while no working primary is known.

        A primary is not used unless a majority of the group was polled in its term
        within ``VERIFICATION_LIFETIME``: otherwise its commits could not be confirmed,
        and it may have been replaced.
        """
        sample = self._view.primary()
        verified = self._view.verified_sample()
        if (
            sample is None
            or verified is None
            or self._primary_health() in _UNUSABLE_HEALTH
        ):
            return None
        if self._clock.now() - verified.sampled_after > VERIFICATION_LIFETIME:
            return None
        name = sample.status.database
        return PrimaryView(name, self._addresses[name], sample.status.term)

    async def wait_primary(self, deadline: timedelta) -> PrimaryView:
        """Wait until a working primary is known.

        Raises
        ------
        CodedError
            NO_PRIMARY once the deadline has passed.
        """
        self._record_activity()
        primary = self.primary
        if primary is None:
            self._request_all_polls()
        while primary is None:
            remaining = deadline - self._clock.now()
            if remaining <= timedelta(0):
                raise CodedError(
                    ResultCode.NO_PRIMARY, self._group, FAILOVER_RETRY_AFTER_MS
                )
            await self._changed.wait(remaining)
            primary = self.primary
        return primary

    def stop_reconciling(self) -> None:
        """Stop reconciling the group; polls and requests in flight continue.

        Called when this monitor is retired, while its last requests finish.
        """
        self._is_reconciling = False
        if self._reconciler_scope is not None:
            self._reconciler_scope.cancel()

    async def _run_reconciler(self) -> None:
        with anyio.CancelScope() as self._reconciler_scope:
            if self._is_reconciling:
                await self._reconciler.run()

    async def wait_change(self, deadline: timedelta) -> None:
        """Wait until a status of the group changes, or until the deadline."""
        remaining = deadline - self._clock.now()
        if remaining > timedelta(0):
            await self._changed.wait(remaining)

    async def confirm(self, position: LogPosition, deadline: timedelta) -> None:
        """Wait until a majority of the group holds a commit, in the commit's term.

        Parameters
        ----------
        position : LogPosition
            Position that the primary reported with the commit.
        deadline : timedelta
            Monotonic time at which the wait ends.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED if a majority has joined a later term, OUTCOME_UNKNOWN
            at the deadline; in both cases the commit may or may not survive.
        """
        confirmation = self._waits.enqueue_confirmation(position)
        if confirmation.outcome is None:
            self._request_polls(replicas_only=True)
        await self._waits.wait_for_confirmation(confirmation, deadline)

    async def sample_min_position(self, deadline: timedelta) -> LogPosition:
        """Return a log position of the primary that is sampled after the call.

        All transactions acknowledged before the call are at or below it, so a new
        session whose reads show this position sees all of them.

        Raises
        ------
        CodedError
            NO_PRIMARY if the deadline passes first.
        """
        request = self._waits.enqueue_position_request()
        self._request_polls(replicas_only=False)
        return await self._waits.wait_for_position(request, deadline)

    def check_token(self, position: LogPosition) -> None:
        """Check that the present primary's log contains the write of a caller's token.

        Raises
        ------
        CodedError
            TOKEN_BEYOND_HISTORY if the log does not contain it: the write was never
            acknowledged or was lost.
        """
        self._router.check_token(position)

    def choose_replica(
        self, min_position: LogPosition | None, max_age: timedelta | None
    ) -> ReplicaChoice | None:
        """Return a replica that may serve a read now, or None.

        Parameters
        ----------
        min_position : LogPosition or None
            Least log position that the read must show; may be of an earlier term.
        max_age : timedelta or None
            Greatest age of the data that the read may show.
            If both bounds are None, no replica is chosen.
        """
        now = self._clock.now()
        self._record_activity()
        return self._replica_choice(self._router.choose(min_position, max_age, now))

    async def wait_replica(
        self,
        min_position: LogPosition | None,
        max_age: timedelta | None,
        deadline: timedelta,
    ) -> ReplicaChoice | None:
        """Wait for a replica that may serve a read, while a wait is worthwhile.

        Parameters
        ----------
        min_position, max_age
            See ``choose_replica``.
        deadline : timedelta
            Monotonic time at which the wait ends.

        Returns
        -------
        ReplicaChoice or None
            None if waiting is not worthwhile or the deadline has passed: the read is
            then served by the primary.
        """
        while True:
            choice = self.choose_replica(min_position, max_age)
            now = self._clock.now()
            if choice is not None or now >= deadline:
                return choice
            wait = self._router.compute_worthwhile_wait(min_position, max_age, now)
            if wait is None:
                return None
            self._request_polls(replicas_only=True)
            await self._changed.wait(min(wait, deadline - now))

    def report_failure(self, database: str, error: CodedError) -> None:
        """Report that a connection to a database broke or was refused.

        This only causes an immediate poll of the database. It is no evidence that the
        database has failed: a pool may meet a limit of connections or a network path
        that has gone silent.
        """
        if database not in self._pollers:
            return
        self._record_failure(database, FailureKind.BROKEN)
        self._pollers[database].request_poll()

    def report_load(self, database: str, load: DatabaseLoad) -> None:
        """Record how busy this instance's pool of a database is."""
        self._router.report_load(database, load)

    def set_draining(self, databases: Collection[str]) -> None:
        """Set which databases are drained; a primary among them is switched over."""
        self._reconciler.draining = frozenset(databases)
        self._router.draining = frozenset(databases)
        self._changed.set()

    def _add_status(self, status: DatabaseStatus, sent_at: timedelta) -> None:
        self._add_sample(StatusSample(status, sent_at, self._clock.now()))

    def _add_sample(self, sample: StatusSample) -> None:
        if not self._view.observe(sample):
            return
        now = self._clock.now()
        replaced = self._primary_monitor.observe(sample, now)
        if replaced is not None:
            self.on_replaced(replaced)
        self._router.observe(sample, now)
        self._waits.resolve_requests()
        self._changed.set()

    def _record_failure(self, database: str, kind: FailureKind) -> None:
        self._primary_monitor.record_failure(database, kind, self._clock.now())
        self._changed.set()

    def _primary_health(self) -> PrimaryHealth:
        return self._primary_monitor.primary_health(self._clock.now())

    def _request_polls(self, *, replicas_only: bool) -> None:
        primary = self._view.primary()
        for name, poller in self._pollers.items():
            is_primary = primary is not None and primary.status.database == name
            if not (replicas_only and is_primary):
                poller.request_poll()

    def _request_all_polls(self) -> None:
        self._request_polls(replicas_only=False)

    def _record_activity(self) -> None:
        for poller in self._pollers.values():
            poller.record_activity()

    def _is_awaited(self, database: str) -> bool:
        if self._waits.has_position_requests:
            return True
        if not self._waits.has_confirmations:
            return False
        primary = self._view.primary()
        return primary is None or primary.status.database != database

    def _is_suspect(self) -> bool:
        if self._primary_health() is not PrimaryHealth.ALIVE:
            return True
        primary = self._view.primary()
        return (
            primary is not None and primary.status.database in self._reconciler.draining
        )

    def _replica_choice(self, database: str | None) -> ReplicaChoice | None:
        primary = self._view.primary()
        if database is None or primary is None:
            return None
        return ReplicaChoice(database, self._addresses[database], primary.status.term)
