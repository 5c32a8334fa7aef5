"""Databases of one service, its leader, and the choice of a database for work."""

import random
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..placement.rendezvous import compute_weight
from ..pool.pace_reason import PaceReason
from ..routing.estimate_wait import estimate_wait
from .choose_database import ReadCandidate, choose_database
from .commit_block import CommitBlock
from .commit_stall_detector import CommitStallDetector
from .commit_tracker import CommitTracker
from .database import Database
from .decision_log import DecisionLog
from .leadership import Leadership
from .log_member_record import LogMemberRecord, make_record, merge_record
from .log_members import (
    LogMember,
    LogMembers,
    drop_excess,
    forget_proved,
    identify_member,
    record_leader,
    record_listed,
    record_removed,
)
from .registry import Registry
from .replica_progress import ReplicaProgress
from .reply import Reply
from .served_database import ServedDatabase
from .serving_settings import ServingSettings

# Retry-after of a statement refused for lack of a leader: a promotion takes about this
# long.
LEADER_RETRY_AFTER_MS = 500
# The end of a commit and the next trial of a stalled leader wake no waiter, so that
# waiters poll for them.
_COMMIT_POLL_INTERVAL = timedelta(milliseconds=10)
_WRITE_POLL_INTERVAL = timedelta(milliseconds=20)
# A leader that was verified longer ago may have been replaced since.
_PROOF_AGE_MAX = timedelta(milliseconds=500)
# A draining leader gets new work only for this fraction of the drain limit.
DRAIN_FRACTION = 0.7


class Service:
    """Databases of one service, with what this process knows of their leader.

    Attributes
    ----------
    name : str
        Name of the service.
    databases : dict of str to ServedDatabase
        Databases by id.
    log_members : LogMembers
        Databases that were removed from the registry and may still be needed.
    leadership : Leadership
        Evidence on which database leads.
    stall_detector : CommitStallDetector
        Detects that commits reach no replica.
    commit_tracker : CommitTracker
        Tracks commits in flight and the highest acknowledged position.
    log : DecisionLog
        Receives the log lines.
    """

    __slots__ = (
        "_change_event",
        "_clock",
        "_registry",
        "_rng",
        "_sample_event",
        "_settings",
        "commit_tracker",
        "databases",
        "leadership",
        "log",
        "log_members",
        "name",
        "stall_detector",
    )

    def __init__(
        self,
        name: str,
        registry: Registry,
        settings: ServingSettings,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self.name = name
        self.databases: dict[str, ServedDatabase] = {}
        self.log_members = LogMembers()
        self.leadership = Leadership()
        self.stall_detector = CommitStallDetector()
        self.commit_tracker = CommitTracker()
        self._registry = registry
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.log = log
        self._change_event = anyio.Event()
        self._sample_event = anyio.Event()

    def notify_change(self) -> None:
        """Wake the tasks that wait for a change of the leader or of the databases."""
        self._change_event.set()
        self._change_event = anyio.Event()

    async def wait_change(self, max_wait: timedelta) -> None:
        """Wait until the leader or the databases change, or for ``max_wait``."""
        with anyio.move_on_after(max(0.0, max_wait.total_seconds())):
            await self._change_event.wait()

    def notify_sample(self) -> None:
        """Wake the reads that wait for a sample."""
        self._sample_event.set()
        self._sample_event = anyio.Event()

    async def wait_sample(self, max_wait: timedelta) -> None:
        """Wait until a leader check yields a sample, or for ``max_wait``."""
        with anyio.move_on_after(max_wait.total_seconds()):
            await self._sample_event.wait()

    def mark_leader_unconfirmed(self, served: ServedDatabase) -> None:
        """Record that a database did not answer, so that others are asked too."""
        self.leadership.record_no_answer(served.database_id, self._clock.now())

    def record_leader_verified(
        self, served: ServedDatabase, position: LogPosition, asked_at: timedelta
    ) -> None:
        """Record a leader check, requested at ``asked_at``, that a database passed."""
        served.health.record_success()
        self.commit_tracker.record_leader_position(position)
        had_leader = bool(self.leadership.leader_id)
        if self.leadership.record_leader_verified(
            served.database_id, position, asked_at
        ):
            self.log.decision(
                "leader proved",
                service=self.name,
                database=served.database_id,
                position=position,
                epoch=self.leadership.epoch,
                unlisted=sorted(m.database_id for m in self.log_members.removed),
                listed_as=served.database.role,
            )
            if had_leader:
                served.pace.begin(PaceReason.LEADER, self._clock.now())
            self.stall_detector.reset()
            self.commit_tracker.record_leader_change(position)
            record_leader(self.log_members, served.database_id, position.term)
            self.notify_change()
        if served.database_id == self.leadership.leader_id:
            self.commit_tracker.record_leader(served.database_id, asked_at)
        served.progress.record_answer(position, self.leadership.epoch)

    def record_leader_refusal(self, served: ServedDatabase) -> None:
        """Record that a database answered that it does not lead."""
        if self.leadership.record_refusal(served.database_id, self._clock.now()):
            self.log.decision(
                "leader lost",
                service=self.name,
                database=served.database_id,
                epoch=self.leadership.epoch,
            )
            self.notify_change()

    def likely_leader(self) -> ServedDatabase | None:
        """Return the database that most likely leads and is to be verified now.

        One that leaves and gets no more work is verified only until this process knows
        up to where commits were acknowledged: a switchover needs this.
        """
        now = self._clock.now()
        candidates = (
            served.database
            for served in self.databases.values()
            if self.commit_tracker.acknowledged is None
            or not self._is_past_drain(served, now)
        )
        database = self.leadership.next_to_verify(candidates, now)
        return None if database is None else self.databases[database.database_id]

    def recently_unlisted(self) -> list[Database]:
        """Return the databases that were removed from the registry and may be needed.

        Their logs may hold commits that a listed replica has not received. A database
        that has restarted under the same id still counts, since it may have lost its
        log.
        """
        self.update_log_members()
        removed = self.log_members.removed.values()
        return [each.database for each in removed if each.database is not None]

    def record_removed(self, database: Database) -> None:
        """Record that a database was removed from the registry."""
        record_removed(self.log_members, database, self._clock.now())
        self.update_log_members()

    def update_log_members(self) -> None:
        """Forget the removed databases whose logs are proved not to be needed."""
        members = self.log_members
        record_listed(members, self._listed())
        if not members.removed:
            return
        forgotten = forget_proved(members, self.leadership, self.replica_progress())
        for member, removed in forgotten.items():
            self._log_forgotten(
                member,
                "received by all",
                position=removed.required,
                epoch=removed.epoch,
                age_s=(self._clock.now() - removed.removed_at).total_seconds(),
            )
        for member in drop_excess(members):
            self._log_forgotten(member, "many were removed later")

    def record_log_members(self, record: LogMemberRecord) -> None:
        """Take over what the store's record says of the service's databases."""
        listed = {identify_member(database) for database in self._listed()}
        now = self._clock.now()
        taken, forgotten = merge_record(self.log_members, record, listed, now)
        if taken:
            self.log.decision(
                "databases taken from record",
                service=self.name,
                databases=[f"{m.database_id}/{m.started_at_ms}" for m in taken],
            )
        for member in forgotten:
            self._log_forgotten(member, "forgotten in record")
        self.update_log_members()

    def log_member_record(self) -> LogMemberRecord:
        """Return what this process knows, for the store's record."""
        self.update_log_members()
        return make_record(self.log_members, map(identify_member, self._listed()))

    def _listed(self) -> list[Database]:
        return [served.database for served in self.databases.values()]

    def _log_forgotten(self, member: LogMember, reason: str, **proof: object) -> None:
        self.log.decision(
            "database forgotten",
            service=self.name,
            database=member.database_id,
            started_at_ms=member.started_at_ms,
            reason=reason,
            **proof,
        )

    def replica_progress(self) -> dict[LogMember, ReplicaProgress]:
        """Return the progress of the listed databases other than the leader."""
        return {
            identify_member(served.database): served.progress
            for database_id, served in self.databases.items()
            if database_id != self.leadership.leader_id
        }

    def can_spare(self, database_id: str) -> bool:
        """Return whether another database can do the work of one of them.

        None can at which requests wait already: what is refused for the sake of one
        database would be refused there too.
        """
        if database_id == self.leadership.leader_id:
            return False
        now = self._clock.now()
        return any(
            other.database_id != database_id
            and not other.pace.is_active
            and not other.health.is_avoided(now)
            and self._registry.leaving_since(other.database_id) is None
            and not other.pool.load(other.database.slots).queued
            for other in self.databases.values()
        )

    def leaving_since(self) -> dict[str, timedelta]:
        """Return the times since which databases have been leaving, by id."""
        since = {i: self._registry.leaving_since(i) for i in self.databases}
        return {i: at for i, at in since.items() if at is not None}

    async def admit_write(self, deadline: timedelta) -> None:
        """Wait until a write may be sent.

        Raises
        ------
        CodedError
            NO_PRIMARY if the leader is still being replaced at the deadline,
            COMMITS_STALLED if commits still reach no replica then.
        """
        while self._are_commits_blocked() or not self.stall_detector.try_admit_write(
            self._clock.now()
        ):
            if self._clock.now() >= deadline:
                self._check_commits_allowed()
                detail = (
                    f"{self.name}: commits to {self.leadership.leader_id} "
                    "reach no replica"
                )
                code = ResultCode.COMMITS_STALLED
                raise CodedError(code, detail, LEADER_RETRY_AFTER_MS)
            await self.wait_change(_WRITE_POLL_INTERVAL)

    async def wait_unblocked(self, deadline: timedelta) -> None:
        """Wait until the leader is no longer being replaced.

        Raises
        ------
        CodedError
            NO_PRIMARY if it still is at the deadline.
        """
        while self._are_commits_blocked():
            if self._clock.now() >= deadline:
                self._check_commits_allowed()
            await self.wait_change(_WRITE_POLL_INTERVAL)

    async def run_commit(self, run: Callable[[], Awaitable[Reply]]) -> Reply:
        """Run a write or commit; stall detection counts it until it is answered.

        Raises
        ------
        CodedError
            NO_PRIMARY if the leader is being replaced; nothing was sent.
        """
        self._check_commits_allowed()
        number = self.stall_detector.record_commit_sent(self._clock.now())
        try:
            reply = await self.track_commit(run)
        except BaseException:
            self.stall_detector.record_commit_abandoned(number)
            raise
        self.stall_detector.record_answer(number, self._clock.now())
        return reply

    async def track_commit(self, run: Callable[[], Awaitable[Reply]]) -> Reply:
        """Run a write or commit and track its acknowledged position.

        A holder calls it directly for statements of other instances, which count these
        in their stall detection.

        Raises
        ------
        CodedError
            As for `run_commit`; OUTCOME_UNKNOWN if commits in flight were given up
            before the answer, since the next leader may lack this one.
        """
        self._check_commits_allowed()
        self.commit_tracker.record_commit_sent()
        give_up_count = self.commit_tracker.give_up_count
        try:
            reply = await run()
            if reply.error is not None:
                return reply
            if give_up_count != self.commit_tracker.give_up_count:
                detail = f"{self.name}: answered after its leader was to be replaced"
                raise CodedError(ResultCode.OUTCOME_UNKNOWN, detail)
            if reply.position is not None:
                self.commit_tracker.record_answer(reply.position)
            return reply
        finally:
            self.commit_tracker.record_commit_ended()

    async def block_commits(
        self, block: CommitBlock, max_wait: timedelta
    ) -> LogPosition | None:
        """Acknowledge no commits to the service while its leader is replaced.

        From now on none is sent. Those in flight are acknowledged if they are answered
        within ``max_wait``; the others are reported as unknown.

        Parameters
        ----------
        block : CommitBlock
            Under which claim, and which databases. Nothing is blocked if the
            candidate was just verified as the leader, or if the claim has ended.
        max_wait : timedelta
            How long commits in flight may still be acknowledged.

        Returns
        -------
        LogPosition or None
            No commit that this process sent is acknowledged above this position,
            whichever database led then: positions of later terms are higher. None if
            that is not known, or if nothing is blocked.
        """
        leader_id = self.leadership.leader_id
        now = self._clock.now()
        if block.candidate_id and block.candidate_id == leader_id:
            sample = self.leadership.newest_sample()
            if sample is not None and now - sample.sampled_after < _PROOF_AGE_MAX:
                self.unblock_commits(block.token)
                return None
        self.commit_tracker.block_commits(block, now)
        if not self._are_commits_blocked():
            return None
        self.log.decision(
            "commits blocked",
            service=self.name,
            token=block.token,
            former=block.former_id,
            leader=leader_id,
            candidate=block.candidate_id,
            epoch=self.leadership.epoch,
            acknowledged=str(self.commit_tracker.acknowledged),
            is_idle=self.commit_tracker.is_idle,
        )
        deadline = now + max_wait
        while not self.commit_tracker.is_idle and self._clock.now() < deadline:
            await self.wait_change(_COMMIT_POLL_INTERVAL)
        if not self._are_commits_blocked():
            return None  # the attempt has ended meanwhile
        self.commit_tracker.give_up_in_flight()
        return self.commit_tracker.acknowledged

    def unblock_commits(self, token: int) -> None:
        """Send commits again, unless they are blocked under a later claim."""
        was_blocked = self.commit_tracker.is_blocked(self._clock.now())
        is_unblocked = self.commit_tracker.unblock_commits(token)
        if was_blocked:
            self.log.decision(
                "commits unblocked" if is_unblocked else "later block stays",
                service=self.name,
                token=token,
                leader=self.leadership.leader_id,
            )
            self.notify_change()

    def _are_commits_blocked(self) -> bool:
        return self.commit_tracker.is_blocked(self._clock.now())

    def _check_commits_allowed(self) -> None:
        if self._are_commits_blocked():
            detail = f"{self.name}: the leader is being replaced"
            raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)

    def leader(self) -> ServedDatabase | None:
        """Return the last verified leader; None if there is none that may get work."""
        served = self.databases.get(self.leadership.leader_id)
        if served is None or self._is_past_drain(served, self._clock.now()):
            return None
        return served

    def is_leader_past_drain(self) -> bool:
        """Return whether the last verified leader leaves and gets no more work."""
        is_known = self.leadership.leader_id in self.databases
        return is_known and self.leader() is None

    def record_missing_position(
        self, served: ServedDatabase, min_position: LogPosition
    ) -> None:
        """Record that a database had not reached a read's minimum position."""
        if served.database_id == self.leadership.leader_id:
            # The position came from this leader or an earlier one; if the leader lacks
            # it, it was lost in a change of the leader.
            self.leadership.clear_samples()
        served.progress.record_missing_position(
            min_position, self.leadership.epoch, self._clock.now()
        )

    def choose_for_read(
        self, min_position: LogPosition, excluded: Iterable[str], organisation: str = ""
    ) -> ServedDatabase | None:
        """Return the database for an organisation's read, or None."""
        now = self._clock.now()
        epoch = self.leadership.epoch
        admitted = [
            served
            for served in self.databases.values()
            if served.database_id not in excluded
            and self._admits_reads(served)
            and self._may_have_reached(served, min_position, epoch, now)
        ]
        ranks = self._rank(admitted, organisation) if organisation else {}
        candidates = [
            self._make_candidate(
                served, min_position, organisation, ranks.get(served.database_id)
            )
            for served in admitted
        ]
        chosen = choose_database(candidates, self._rng)
        return None if chosen is None else self.databases[chosen.database_id]

    def open_ahead(self, organisations: Iterable[str]) -> None:
        """Open connections where the next operations of organisations will need them.

        At the leader, for their writes, and at the replica that their reads prefer; one
        a call at each database.
        """
        leader_id = self.leadership.leader_id
        served = self.databases.values()
        if not any(each.pool.local_pool.may_open_ahead() for each in served):
            return
        preferred: dict[str, list[str]] = {each.database_id: [] for each in served}
        for organisation in organisations:
            if leader_id in preferred:
                preferred[leader_id].append(organisation)
            order = self._rank(served, organisation)
            first = min(order, key=order.__getitem__, default=leader_id)
            if first != leader_id:
                preferred[first].append(organisation)
        for each in served:
            if self._registry.leaving_since(each.database_id) is None:
                each.pool.local_pool.open_ahead(preferred[each.database_id])

    def _rank(
        self, admitted: Iterable[ServedDatabase], organisation: str
    ) -> dict[str, int]:
        """Return the order in which an organisation's reads prefer databases.

        Each organisation has an order of its own, with the leader last. So its reads
        mostly meet at one database, where they find a connection, and those of all
        organisations spread over the replicas.
        """
        leader_id = self.leadership.leader_id
        ids = sorted(
            (served.database_id for served in admitted),
            key=lambda each: (each == leader_id, -compute_weight(organisation, each)),
        )
        return {database_id: rank for rank, database_id in enumerate(ids)}

    def _may_have_reached(
        self,
        served: ServedDatabase,
        min_position: LogPosition,
        epoch: int,
        now: timedelta,
    ) -> bool:
        if served.database_id == self.leadership.leader_id:
            return not self._is_past_drain(served, now)
        return served.progress.may_have_reached(min_position, epoch, now)

    def _admits_reads(self, served: ServedDatabase) -> bool:
        if served.database_id == self.leadership.leader_id:
            return True
        return self._registry.leaving_since(served.database_id) is None

    def _make_candidate(
        self,
        served: ServedDatabase,
        min_position: LogPosition,
        organisation: str,
        rank: int | None,
    ) -> ReadCandidate:
        database = served.database
        load = served.pool.load(database.slots, organisation)
        is_near = database.availability_zone == self._settings.availability_zone
        wait = estimate_wait(load, is_same_availability_zone=is_near)
        now = self._clock.now()
        wait += self._estimate_latency(served, now)
        if load.is_due:
            wait = timedelta(0)
        position = served.progress.position
        return ReadCandidate(
            served.database_id,
            wait,
            served.database_id == self.leadership.leader_id,
            position is not None and min_position <= position,
            load.is_full or served.health.is_avoided(now),
            rank,
        )

    def _estimate_latency(self, served: ServedDatabase, now: timedelta) -> timedelta:
        """Return the latency to expect of a database.

        One that has not answered yet is expected to be the fastest for its part of the
        reads, and the slowest for the others. Else all instances would send all their
        reads to a database that has just been listed.
        """
        if served.latency.is_known or not self._settings.is_paced:
            return served.latency.estimate(now)
        others = [
            other.latency.estimate(now)
            for other in self.databases.values()
            if other.latency.has_answered
        ]
        is_its_part = self._rng.random() * len(self.databases) < 1
        return timedelta(0) if is_its_part else max(others, default=timedelta(0))

    def _is_past_drain(self, served: ServedDatabase, now: timedelta) -> bool:
        since = self._registry.leaving_since(served.database_id)
        return (
            since is not None
            and now - since > self._settings.drain_limit * DRAIN_FRACTION
        )
