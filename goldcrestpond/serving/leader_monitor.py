"""Monitors the leaders of all services and starts failovers and switchovers."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio
import msgspec

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..tasks.supervised_tasks import SupervisedTasks
from .commit_block import CommitBlock
from .commit_tracker import BLOCK_LIFETIME, BLOCK_LIMIT
from .database import Database
from .decision_log import DecisionLog
from .directory import Directory
from .failover import Failover
from .failover_attempt import (
    COMMIT_WAIT,
    NO_WAIT,
    FailoverAttempt,
    Participants,
    PreviousLeader,
)
from .failover_claim import ClaimWriter
from .failover_completion import FailoverCompletion
from .failover_delay import failover_delay
from .link import Link
from .log_member_prover import LogMemberProver
from .log_member_recorder import LogMemberRecorder
from .log_members import find_unaddressed
from .row_store import RowPut, RowStore, StoredRow
from .service import Service
from .store_era import StoreEra
from .suspicions import (
    RENEWAL_INTERVAL,
    TABLE,
    SuspicionBody,
    Suspicions,
    quorum,
    suspicion_key,
)
from .table_copy import TableCopy

# Half of the time after which a leader is suspected: a failure is noticed before.
CHECK_INTERVAL_S = 0.2
ALERT_CHECK_INTERVAL_S = 0.05  # while a leader fails, is suspected or leaves
NON_HOLDER_CHECK_INTERVAL_S = 0.5
# Time for one check without an answer and a second one over a new connection.
SUSPECT_AFTER = timedelta(milliseconds=400)
RETRY_PAUSE = timedelta(milliseconds=500)
# While this instance suspects a leader, it reads other suspicions at this interval.
SUSPICION_READ_INTERVAL = timedelta(milliseconds=200)
# A leader that is no longer listed is replaced only after this time, since it may be
# listed again within about 2 s.
UNLISTED_LEADER_WAIT = timedelta(milliseconds=2200)
# While an acknowledged commit could be lost, a failover waits for the previous leader
# or another database that has the commit. Crashed databases restart sooner than this;
# those that don't are considered lost, with the commits of which no instance knows.
LOSSLESS_FAILOVER_WAIT = timedelta(seconds=30)
# An attempt of another instance counts as abandoned this long before its block of
# commits expires, so that no commit is sent before it has been ended.
BLOCK_MARGIN = timedelta(milliseconds=500)
RECOVERY_PAUSE = timedelta(milliseconds=1000)
# While commits reach no replica, each holder looks for paused ones at this interval.
STALL_CHECK_PAUSE = timedelta(milliseconds=5000)
_MILLISECOND = timedelta(milliseconds=1)

OpenLink = Callable[[Database], Awaitable[Link]]


class LeaderMonitor:
    """Checks all services periodically and replaces failed or leaving leaders.

    Parameters
    ----------
    instance : str
        Name of this instance.
    directory : Directory
        The services.
    store : RowStore
        Holds claims and suspicions.
    era : StoreEra
        Era of the store; suspicions are rewritten in each new one.
    failover : Failover or None
        Requests promotions; if None, leaders are not replaced.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives log events.
    tasks : SupervisedTasks
        Runs the failovers and the writes of suspicions.

    Attributes
    ----------
    is_stopping : bool
        Whether the process ends soon, so that it begins to replace no further leader.
    suspicions_copy : TableCopy
        The table of the suspicions. An instance that suspects a leader also reads the
        table directly, so this copy only informs the instances that don't.
    """

    __slots__ = (
        "_claims",
        "_claims_read_at",
        "_clock",
        "_completion",
        "_directory",
        "_era",
        "_failover",
        "_instance",
        "_is_alert",
        "_is_reading",
        "_is_reading_claims",
        "_log",
        "_lossy_since",
        "_next_attempt_at",
        "_next_recovery_at",
        "_open_link",
        "_prover",
        "_read_at",
        "_recorder",
        "_running",
        "_store",
        "_suspicions",
        "_tasks",
        "_unended",
        "_written_at",
        "_written_era",
        "is_stopping",
        "suspicions_copy",
    )

    def __init__(
        self,
        instance: str,
        directory: Directory,
        store: RowStore,
        era: StoreEra,
        failover: Failover | None,
        open_link: OpenLink,
        clock: Clock,
        log: DecisionLog,
        tasks: SupervisedTasks,
    ):
        self._instance = instance
        self._directory = directory
        self._store = store
        self._era = era
        self._failover = failover
        self._open_link = open_link
        self._clock = clock
        self._log = log
        self._tasks = tasks
        self._claims = ClaimWriter(instance, store, era, clock)
        self._recorder = LogMemberRecorder(
            instance, directory, store, era, clock, log, tasks
        )
        self._prover = LogMemberProver(
            instance, directory, open_link, clock, log, tasks, self._recorder.read
        )
        self._suspicions = Suspicions()
        self._written_at: dict[str, timedelta] = {}
        self._written_era = 0
        self._next_attempt_at: dict[str, timedelta] = {}
        self._running: set[str] = set()
        self.is_stopping = False
        # Services with an attempt of which something may be left.
        self._unended: set[str] = set()
        self._next_recovery_at: dict[str, timedelta] = {}
        self._completion = FailoverCompletion(
            directory, self._claims, failover, open_link, clock, era, log
        )
        if failover is not None:
            directory.begin_start_block()
        # Epoch of the leadership, and since when failovers in it could lose commits.
        self._lossy_since: dict[str, tuple[int, timedelta]] = {}
        self._is_reading = False
        self._is_reading_claims = False
        self._claims_read_at: timedelta | None = None
        self._is_alert = False
        self._read_at: timedelta | None = None
        self.suspicions_copy = TableCopy(
            TABLE, self._replace_suspicions, self._update_suspicions
        )

    @property
    def is_replacing(self) -> bool:
        """Whether a leader is being replaced, or what is left of that ended, here."""
        return bool(self._running)

    async def run(self) -> None:
        """Monitor the leaders until cancelled."""
        if self._failover is None:
            return
        self._tasks.start_soon(self._read_claims_at_start)
        while True:
            self._clear_writes_of_earlier_era()
            self._is_alert = False
            for service in list(self._directory.services.values()):
                self._tasks.call(self._check_service, service)
            await anyio.sleep(self._check_interval_s())

    def _check_interval_s(self) -> float:
        if not self._directory.holds_any():
            return NON_HOLDER_CHECK_INTERVAL_S
        return ALERT_CHECK_INTERVAL_S if self._is_alert else CHECK_INTERVAL_S

    def _clear_writes_of_earlier_era(self) -> None:
        if self._written_era != self._era.current:
            self._written_era = self._era.current
            self._written_at.clear()

    def _check_service(self, service: Service) -> None:
        now = self._clock.now()
        if self._directory.holds(service.name):
            self._prover.check(service)
            self._recorder.check(service)
        if service.name in self._running or not service.databases or self.is_stopping:
            return
        self._check_unended(service, now)
        if not self._directory.holds(service.name) or service.name in self._running:
            return
        is_planned = self._is_leader_leaving(service, now)
        verifier = self._directory.leader_verifier(service.name)
        is_suspect = self._is_suspect(service, now)
        if is_planned or is_suspect or verifier.failing_for(now) is not None:
            self._is_alert = True
        self._update_suspicion(service, is_suspect, now)
        if is_planned or self._has_quorum(service, now):
            self._start_reading_claims(service, now)
        if not is_planned:
            suspects = self._suspicions.suspecting_instances(service.name, now)
            if suspects and not is_suspect:
                self._is_alert = True
                verifier.check_now()
            if not (is_suspect and self._has_quorum(service, now)):
                self._next_attempt_at.pop(service.name, None)
                return
        next_attempt_at = self._next_attempt_at.setdefault(
            service.name, now + self._failover_delay(service)
        )
        if now >= next_attempt_at:
            self._next_attempt_at[service.name] = now + RETRY_PAUSE
            self._running.add(service.name)
            self._tasks.start_soon(self._replace_leader, service, is_planned)

    def _is_suspect(self, service: Service, now: timedelta) -> bool:
        failing_for = self._directory.leader_verifier(service.name).failing_for(now)
        return failing_for is not None and failing_for >= SUSPECT_AFTER

    def _has_quorum(self, service: Service, now: timedelta) -> bool:
        suspects = self._suspicions.suspecting_instances(service.name, now)
        return len(suspects) >= quorum(self._directory.holder_count(service.name))

    def _is_leader_leaving(self, service: Service, now: timedelta) -> bool:
        leader_id = service.leadership.leader_id
        registry = self._directory.registry
        database = registry.get(leader_id)
        if database is None:
            return False
        if database.is_draining:
            return True
        since = registry.leaving_since(leader_id)
        return since is not None and now - since >= UNLISTED_LEADER_WAIT

    def _failover_delay(self, service: Service) -> timedelta:
        holders = self._directory.holder_names(service.name)
        return failover_delay(service.name, self._instance, holders)

    def _update_suspicion(
        self, service: Service, is_suspect: bool, now: timedelta
    ) -> None:
        """Write, renew or remove this instance's suspicion of a service's leader."""
        written_at = self._written_at.get(service.name)
        if is_suspect:
            if written_at is None:
                self._log.decision("leader suspected", service=service.name)
            if written_at is None or now - written_at >= RENEWAL_INTERVAL:
                self._written_at[service.name] = now
                self._tasks.start_soon(self._write_suspicion, service.name)
            self._start_reading_suspicions()
        elif written_at is not None:
            del self._written_at[service.name]
            self._tasks.start_soon(self._remove_suspicion, service.name)

    async def _write_suspicion(self, service: str) -> None:
        key = suspicion_key(service, self._instance)
        value = msgspec.json.encode(SuspicionBody(self._era.current))
        await self._store_suspicion(service, [RowPut(TABLE, "", key, value)], [])

    async def _remove_suspicion(self, service: str) -> None:
        key = suspicion_key(service, self._instance)
        await self._store_suspicion(service, [], [StoredRow(TABLE, "", key, None, 0)])

    async def _store_suspicion(
        self, service: str, puts: list[RowPut], removals: list[StoredRow]
    ) -> None:
        try:
            await self._store.write([], puts, removals)
        except CodedError as error:
            # An old suspicion expires; a current one is written again.
            self._log.decision(
                "suspicion not written", service=service, detail=error.detail
            )

    def _start_reading_suspicions(self) -> None:
        """Read the suspicions of other instances, if the last read is old enough.

        The feed alone is not enough: a call that waits on a store which was
        unreachable notices its return too late.
        """
        now = self._clock.now()
        read_at = self._read_at
        if self._is_reading:
            return
        if read_at is not None and now - read_at < SUSPICION_READ_INTERVAL:
            return
        self._is_reading = True
        self._read_at = now
        self._tasks.start_soon(self._read_suspicions)

    async def _read_suspicions(self) -> None:
        try:
            answer = await self._store.read(TABLE)
        except CodedError as error:
            self._log.decision("suspicions not read", detail=error.detail)
        else:
            self._suspicions.replace(answer.rows, self._clock.now(), answer.era)
        finally:
            self._is_reading = False

    async def _replace_leader(self, service: Service, is_planned: bool) -> None:
        databases = _list_databases(service)
        leader_id = service.leadership.presumed_leader_id(databases)
        try:
            claim = await self._completion.claim(service, leader_id)
            if claim is None:
                return
            self._unended.add(service.name)
            if not await self._recorder.read(service):
                reason = "log members not read"
                if await self._completion.finish(service, claim, reason):
                    self._unended.discard(service.name)
                return
            attempt = FailoverAttempt(
                claim,
                lambda: _list_databases(service),
                _make_participants(service, leader_id),
                PreviousLeader(leader_id, service.leadership.newest_term(), is_planned),
                self._has_waited_for_commits(service),
                self._failover,
                self._directory,
                self._open_link,
                self._clock,
                self._era,
                self._log,
            )
            await attempt.run()
            if attempt.may_lose_commits:
                epoch_and_time = (service.leadership.epoch, self._clock.now())
                self._lossy_since.setdefault(service.name, epoch_and_time)
            if await self._completion.complete(service, attempt):
                self._unended.discard(service.name)
        except CodedError as error:
            # A claim that was not answered may have replaced an earlier one.
            self._unended.add(service.name)
            self._log.decision(
                "succession failed", service=service.name, detail=error.detail
            )
        finally:
            self._running.discard(service.name)

    def _check_unended(self, service: Service, now: timedelta) -> None:
        """Start to end what is left of an attempt, if its owner seems not to do it."""
        tracker = service.commit_tracker
        # The block of a former release, without a token, expires.
        if tracker.token and tracker.is_blocked(now):
            self._claims.record_seen(service.name, tracker.token)
        is_abandoned = tracker.token and tracker.is_unrenewed(
            now, BLOCK_LIFETIME - BLOCK_MARGIN
        )
        is_stalled = service.stall_detector.is_stalled(now)
        if not (is_abandoned or is_stalled or service.name in self._unended):
            self._next_recovery_at.pop(service.name, None)
            return
        if self._is_suspect(service, now) and self._has_quorum(service, now):
            return  # the next attempt replaces the present one
        next_recovery_at = self._next_recovery_at.setdefault(
            service.name, now + self._failover_delay(service)
        )
        if now >= next_recovery_at:
            is_left = is_abandoned or service.name in self._unended
            pause = RECOVERY_PAUSE if is_left else STALL_CHECK_PAUSE
            self._next_recovery_at[service.name] = now + pause
            self._running.add(service.name)
            self._tasks.start_soon(self._recover, service)

    async def _recover(self, service: Service) -> None:
        try:
            if await self._completion.recover(service):
                self._unended.discard(service.name)
        except CodedError as error:
            self._log.decision(
                "recovery failed", service=service.name, detail=error.detail
            )
        finally:
            self._running.discard(service.name)

    def _start_reading_claims(self, service: Service, now: timedelta) -> None:
        """Read the claims of a service whose leader is being replaced.

        The claimant may not reach this instance, to have it block commits.
        """
        if self._is_reading_claims or service.commit_tracker.is_blocked(now):
            return
        read_at = self._claims_read_at
        if read_at is not None and now - read_at < SUSPICION_READ_INTERVAL:
            return
        self._is_reading_claims = True
        self._claims_read_at = now
        self._tasks.start_soon(self._read_claims)

    async def _read_claims(self) -> None:
        try:
            for name, claim in (await self._claims.read_unended()).items():
                if claim.left.may_be_pending and name not in self._running:
                    self._tasks.start_soon(self._block_as_claimed, claim.block)
        except CodedError as error:
            self._log.decision("claims not read", detail=error.detail)
        finally:
            self._is_reading_claims = False

    async def _block_as_claimed(self, block: CommitBlock) -> None:
        """Block commits under the claim of another instance."""
        service = self._directory.service(block.service)
        is_planned = self._is_leader_leaving(service, self._clock.now())
        max_wait = COMMIT_WAIT if is_planned else NO_WAIT
        await service.block_commits(block, max_wait)

    async def _read_claims_at_start(self) -> None:
        """Learn which services an earlier attempt has left blocked.

        Until then this process sends no commits: it may have started while a promotion
        is pending, of which it was not told.
        """
        ends_at = self._clock.now() + BLOCK_LIMIT
        unended = None
        while unended is None and self._clock.now() < ends_at:
            try:
                unended = await self._claims.read_unended()
            except CodedError as error:
                self._log.decision("claims not read", detail=error.detail)
                self._directory.begin_start_block()
                await anyio.sleep(RETRY_PAUSE.total_seconds())
        is_read = unended is not None
        unended = unended or {}
        for name, claim in unended.items():
            self._unended.add(name)
            if claim.left.may_be_pending:
                await self._directory.service(name).block_commits(claim.block, NO_WAIT)
        self._directory.end_start_block()
        if is_read:
            self._log.decision("claims read", unended=sorted(unended))

    def _has_waited_for_commits(self, service: Service) -> bool:
        """Return whether this incident has lasted for ``LOSSLESS_FAILOVER_WAIT``.

        It is over once a leader was verified: what could be lost in a later one may
        still return.
        """
        epoch, since = self._lossy_since.get(service.name, (0, self._clock.now()))
        newest = service.leadership.newest_sample()
        is_over = newest is not None and newest.sampled_after > since
        if epoch != service.leadership.epoch or is_over:
            self._lossy_since.pop(service.name, None)
            return False
        waited = self._clock.now() - since
        if waited < LOSSLESS_FAILOVER_WAIT:
            return False
        self._log.decision(
            "wait for acknowledged commits over",
            service=service.name,
            epoch=epoch,
            waited_ms=waited // _MILLISECOND,
        )
        return True

    def _replace_suspicions(self, rows) -> None:
        self._suspicions.replace(rows, self._clock.now(), self._era.current)

    def _update_suspicions(self, rows) -> None:
        self._suspicions.update(rows, self._clock.now(), self._era.current)


def _make_participants(service: Service, previous_leader_id: str) -> Participants:
    """Return the databases of a service; the record was read before.

    A removed database that led last has no acknowledged commit alone. A process that
    has just started knows it from the record.
    """
    last_id = previous_leader_id or service.log_members.leader_id
    return Participants(
        [served.database for served in service.databases.values()],
        [d for d in service.recently_unlisted() if d.database_id != last_id],
        service.leaving_since(),
        frozenset(
            member
            for member in find_unaddressed(service.log_members)
            if member.database_id != last_id
        ),
        {
            database_id: position
            for database_id, served in service.databases.items()
            if (position := served.progress.position_in(service.leadership.epoch))
        },
    )


def _list_databases(service: Service) -> list[Database]:
    return [served.database for served in service.databases.values()]
