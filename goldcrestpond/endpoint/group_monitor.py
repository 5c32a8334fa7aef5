"""Watches one database group on behalf of one proxy."""

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
from .group_monitor_followers import Followers
from .group_monitor_keeper import GroupKeeper
from .group_monitor_poller import DatabasePoller, OpenConnection
from .group_monitor_promoter import Promoter
from .group_monitor_reads import ReplicaRouter
from .group_monitor_record import GroupRecord
from .group_monitor_waits import PositionWaits
from .group_monitor_wakeup import Wakeup
from .login import Login

# Longer than the polls of an idle group are apart.
PRIMARY_LIFETIME = timedelta(seconds=5)
# By then most failovers are over.
FAILOVER_RETRY_AFTER_MS = 1000


_UNUSABLE = (PrimaryHealth.DEAD, PrimaryHealth.STALLED)


def _ignore_replaced(replaced: ReplacedPrimary) -> None:
    """Do nothing about a replaced primary."""


class GroupMonitor:
    """Primary, confirmations, floors and replicas of one group.

    Attributes
    ----------
    on_replaced : callable
        Receives a ``ReplacedPrimary`` once for each primary that can have
        nothing confirmed any more.

    Parameters
    ----------
    group : str
        Name of the group.
    spec : DatabaseGroupSpec
        Its databases and the login.
    platform : Platform
        Holds the record of the group's terms.
    open_connection : callable
        Opens a connection: ``await open_connection(address, login)``.
    clock : Clock
        Monotonic readings; deadlines are readings of the same clock.
    rng : random.Random
        Source of randomness.
    recorder : EventRecorder
        Takes the events of the time line.
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
        "_is_keeping",
        "_keeper",
        "_keeping",
        "_login",
        "_open_connection",
        "_pollers",
        "_router",
        "_view",
        "_waits",
        "_watch",
        "on_replaced",
    )

    def __init__(
        self,
        group: str,
        spec: DatabaseGroupSpec,
        platform: Platform,
        open_connection: OpenConnection,
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
        self._addresses = {d.name: parse_address(d.address) for d in spec.databases}
        self._view = GroupView(self._addresses)
        self._waits = PositionWaits(self._view, clock)
        self._watch = PrimaryMonitor(self._view)
        self.on_replaced: Callable[[ReplacedPrimary], None] = _ignore_replaced
        self._changed = Wakeup()
        self._router = ReplicaRouter(
            self._view,
            {
                d.name: d.availability_zone in ("", availability_zone)
                for d in spec.databases
            },
            rng,
        )
        self._pollers = {
            name: self._new_poller(name, address)
            for name, address in self._addresses.items()
        }
        identity = f"{instance}/{rng.getrandbits(64):016x}"
        self._is_keeping = True
        self._keeping: anyio.CancelScope | None = None
        self._keeper = self._new_keeper(identity, platform, rng, recorder)

    def _new_keeper(
        self,
        identity: str,
        platform: Platform,
        rng: random.Random,
        recorder: EventRecorder,
    ) -> GroupKeeper:
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
            self._take_status,
        )
        return GroupKeeper(
            self._view,
            promoter,
            Followers(self._view, control, self._clock),
            record,
            control,
            identity,
            platform,
            self._clock,
            rng,
            self._changed,
            primary_health=self._verdict,
            demand=self._demand_all,
            learn_start=self._router.record_start,
        )

    def _new_poller(self, name: str, address: Address) -> DatabasePoller:
        return DatabasePoller(
            name,
            address,
            self._login,
            self._open_connection,
            self._clock,
            on_sample=self._take_sample,
            on_failure=self._take_failure,
            is_awaited=self._is_awaited,
            is_suspect=self._is_suspect,
        )

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll statuses and keep the group in order until cancelled."""
        async with anyio.create_task_group() as tasks:
            for poller in self._pollers.values():
                tasks.start_soon(poller.run)
            tasks.start_soon(self._keep)
            task_status.started()

    @property
    def primary(self) -> PrimaryView | None:
        """The primary as far as known; None while none is taken to work.

        A primary that no majority vouched for lately is not used: its commits
        could not be confirmed, and it may have been replaced.
        """
        sample = self._view.primary()
        verified = self._view.verified_sample()
        if sample is None or verified is None or self._verdict() in _UNUSABLE:
            return None
        if self._clock.now() - verified.sampled_after > PRIMARY_LIFETIME:
            return None
        name = sample.status.database
        return PrimaryView(name, self._addresses[name], sample.status.term)

    async def wait_primary(self, deadline: timedelta) -> PrimaryView:
        """Wait until there is a primary.

        Raises
        ------
        CodedError
            NO_PRIMARY once the deadline has passed.
        """
        self._note_activity()
        primary = self.primary
        if primary is None:
            self._demand_all()
        while primary is None:
            rest = deadline - self._clock.now()
            if rest <= timedelta(0):
                raise CodedError(
                    ResultCode.NO_PRIMARY, self._group, FAILOVER_RETRY_AFTER_MS
                )
            await self._changed.wait(rest)
            primary = self.primary
        return primary

    def stop_reconciling(self) -> None:
        """Leave the group's order to a successor; requests in flight go on."""
        self._is_keeping = False
        if self._keeping is not None:
            self._keeping.cancel()

    async def _keep(self) -> None:
        with anyio.CancelScope() as self._keeping:
            if self._is_keeping:
                await self._keeper.run()

    async def wait_change(self, deadline: timedelta) -> None:
        """Wait until something about the group changes, or the deadline."""
        rest = deadline - self._clock.now()
        if rest > timedelta(0):
            await self._changed.wait(rest)

    async def confirm(self, position: LogPosition, deadline: timedelta) -> None:
        """Wait until a majority of the group holds a commit in its term.

        Parameters
        ----------
        position : LogPosition
            What the primary reported with the commit.
        deadline : timedelta
            Monotonic reading at which the wait ends.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED if a later term shut this one out, OUTCOME_UNKNOWN
            at the deadline; the transaction may or may not last.
        """
        confirmation = self._waits.begin_confirmation(position)
        if confirmation.outcome is None:
            self._demand(replicas_only=True)
        await self._waits.end_confirmation(confirmation, deadline)

    async def sample_min_position(self, deadline: timedelta) -> LogPosition:
        """Return a position of the primary sampled after the call.

        Every transaction acknowledged before the call is at or below it.

        Raises
        ------
        CodedError
            NO_PRIMARY if the deadline passes first.
        """
        request = self._waits.begin_floor()
        self._demand(replicas_only=False)
        return await self._waits.end_floor(request, deadline)

    def check_token(self, position: LogPosition) -> None:
        """Refuse a caller's token whose write the present history lacks.

        Raises
        ------
        CodedError
            TOKEN_BEYOND_HISTORY: the write was not acknowledged or is lost.
        """
        self._router.check_token(position)

    def choose_replica(
        self, min_position: LogPosition | None, max_age: timedelta | None
    ) -> ReplicaChoice | None:
        """Return a replica that may serve a read now, or None.

        Parameters
        ----------
        min_position : LogPosition or None
            Floor of the session; of any term.
        max_age : timedelta or None
            Stated age. Without either bound no replica is chosen.
        """
        now = self._clock.now()
        self._note_activity()
        return self._choice(self._router.choose(min_position, max_age, now))

    async def wait_replica(
        self,
        min_position: LogPosition | None,
        max_age: timedelta | None,
        deadline: timedelta,
    ) -> ReplicaChoice | None:
        """Wait for a replica while that is expected to be quicker.

        Returns
        -------
        ReplicaChoice or None
            None if the primary is expected to be quicker, or at the deadline.
        """
        while True:
            choice = self.choose_replica(min_position, max_age)
            now = self._clock.now()
            if choice is not None or now >= deadline:
                return choice
            wait = self._router.worthwhile_wait(min_position, max_age, now)
            if wait is None:
                return None
            self._demand(replicas_only=True)
            await self._changed.wait(min(wait, deadline - now))

    def report_failure(self, database: str, error: CodedError) -> None:
        """Take in that a connection to a database broke or was refused.

        It only makes the database be asked at once: a pool may meet a limit of
        connections or a silent path, which is no evidence of death.
        """
        if database not in self._pollers:
            return
        self._take_failure(database, FailureKind.BROKEN)
        self._pollers[database].demand()

    def report_load(self, database: str, load: DatabaseLoad) -> None:
        """Take in how busy this instance's pool of a database is."""
        self._router.report_load(database, load)

    def set_draining(self, databases: Collection[str]) -> None:
        """Take in which databases are to leave; a primary hands over."""
        self._keeper.draining = frozenset(databases)
        self._router.draining = frozenset(databases)
        self._changed.set()

    def _take_status(self, status: DatabaseStatus, sent_at: timedelta) -> None:
        self._take_sample(StatusSample(status, sent_at, self._clock.now()))

    def _take_sample(self, sample: StatusSample) -> None:
        if not self._view.observe(sample):
            return
        now = self._clock.now()
        replaced = self._watch.observe(sample, now)
        if replaced is not None:
            self.on_replaced(replaced)
        self._router.observe(sample, now)
        self._waits.settle()
        self._changed.set()

    def _take_failure(self, database: str, kind: FailureKind) -> None:
        self._watch.record_failure(database, kind, self._clock.now())
        self._changed.set()

    def _verdict(self) -> PrimaryHealth:
        return self._watch.primary_health(self._clock.now())

    def _demand(self, *, replicas_only: bool) -> None:
        primary = self._view.primary()
        for name, poller in self._pollers.items():
            is_primary = primary is not None and primary.status.database == name
            if not (replicas_only and is_primary):
                poller.demand()

    def _demand_all(self) -> None:
        self._demand(replicas_only=False)

    def _note_activity(self) -> None:
        for poller in self._pollers.values():
            poller.note_activity()

    def _is_awaited(self, database: str) -> bool:
        if self._waits.has_floors:
            return True
        if not self._waits.has_confirmations:
            return False
        primary = self._view.primary()
        return primary is None or primary.status.database != database

    def _is_suspect(self) -> bool:
        if self._verdict() is not PrimaryHealth.ALIVE:
            return True
        primary = self._view.primary()
        return primary is not None and primary.status.database in self._keeper.draining

    def _choice(self, database: str | None) -> ReplicaChoice | None:
        primary = self._view.primary()
        if database is None or primary is None:
            return None
        return ReplicaChoice(database, self._addresses[database], primary.status.term)
