"""One service: its databases, its leader and how work finds them."""

import random
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..routing.estimate_wait import estimate_wait
from .choose_database import ReadCandidate, choose_database
from .commit_stall_detector import CommitStallDetector
from .commit_tracker import CommitTracker
from .database import Database
from .decision_log import DecisionLog
from .leadership import Leadership
from .registry import Registry
from .reply import Reply
from .served_database import ServedDatabase
from .serving_settings import ServingSettings

# A promotion takes about this long; a caller that is refused may come back then.
LEADER_RETRY_AFTER_MS = 500
_SETTLE_POLL = timedelta(milliseconds=10)  # a commit ends without a notice here
_STALL_POLL = timedelta(milliseconds=20)  # trials are let through with time alone
# Replicas that receive nothing for a while have caught up within this time.
UNLISTED_RETENTION = timedelta(seconds=30)
# Of the time within which a leaving leader must get no more work, what is used.
DRAIN_USE = 0.7


class Service:
    """The databases of one service.

    Attributes
    ----------
    name : str
        Name of the service.
    databases : dict of str to ServedDatabase
        Databases by id.
    unlisted : list
        Databases that are no longer listed, with the reading of it.
    leadership : Leadership
        Which of them leads.
    commits : CommitStallDetector
        Commits that were sent and not answered.
    commit_tracker : CommitTracker
        Commits that were acknowledged.
    log : DecisionLog
        Sink of decisions.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_registry",
        "_rng",
        "_sampled",
        "_settings",
        "commits",
        "databases",
        "unlisted",
        "leadership",
        "commit_tracker",
        "log",
        "name",
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
        self.unlisted: list[tuple[Database, timedelta]] = []
        self.leadership = Leadership()
        self.commits = CommitStallDetector()
        self.commit_tracker = CommitTracker()
        self._registry = registry
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self.log = log
        self._changed = anyio.Event()
        self._sampled = anyio.Event()

    def notify_change(self) -> None:
        """Wake what waits for another leader or database."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_change(self, limit: timedelta) -> None:
        """Wait until something changed, or until the limit."""
        with anyio.move_on_after(max(0.0, limit.total_seconds())):
            await self._changed.wait()

    def notify_sample(self) -> None:
        """Wake the reads that wait for a sample."""
        self._sampled.set()
        self._sampled = anyio.Event()

    async def wait_sample(self, limit: timedelta) -> None:
        """Wait until a proof brought a sample, or until the limit."""
        with anyio.move_on_after(limit.total_seconds()):
            await self._sampled.wait()

    def mark_leader_unconfirmed(self, served: ServedDatabase) -> None:
        """Ask others too after a database did not answer."""
        self.leadership.record_no_answer(served.database_id, self._clock.now())

    def record_leader_verified(
        self, served: ServedDatabase, position: LogPosition, asked_at: timedelta
    ) -> None:
        """Take in a proof that a database leads."""
        served.health.record_success()
        self.commit_tracker.record_leader_position(position)
        if self.leadership.record_leader_verified(
            served.database_id, position, asked_at
        ):
            self.log.decision(
                "leader proved",
                service=self.name,
                database=served.database_id,
                position=position,
                epoch=self.leadership.epoch,
            )
            self.commits.reset()
            self.unlisted.clear()  # a new leader holds whatever they held
            self.notify_change()
        served.progress.record_answer(position, self.leadership.epoch)

    def record_leader_refusal(self, served: ServedDatabase) -> None:
        """Take in that a database refused to lead."""
        if self.leadership.record_refusal(served.database_id, self._clock.now()):
            self.log.decision(
                "leader lost",
                service=self.name,
                database=served.database_id,
                epoch=self.leadership.epoch,
            )
            self.notify_change()

    def likely_leader(self) -> ServedDatabase | None:
        """Return the database that most likely leads and may get work now."""
        now = self._clock.now()
        asked = (
            served.database
            for served in self.databases.values()
            if not self._has_left(served, now)
        )
        database = self.leadership.next_to_verify(asked, now)
        return None if database is None else self.databases[database.database_id]

    def recently_unlisted(self) -> list[Database]:
        """Return the databases that were listed until a while ago.

        Their logs may hold commits that no other replica had received by then; one
        that has started again under its id may have lost its log.
        """
        now = self._clock.now()
        self.unlisted = [
            (database, since)
            for database, since in self.unlisted
            if now - since < UNLISTED_RETENTION and not self._is_back(database)
        ]
        return [database for database, _ in self.unlisted]

    def leaving_since(self) -> dict[str, timedelta]:
        """Return since when databases are leaving, by id."""
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
        while self._is_sealed() or not self.commits.try_admit_write(self._clock.now()):
            if self._clock.now() >= deadline:
                self._check_open()
                detail = f"{self.name}: {self.leadership.leader_id}"
                code = ResultCode.COMMITS_STALLED
                raise CodedError(code, detail, LEADER_RETRY_AFTER_MS)
            await self.wait_change(_STALL_POLL)

    async def run_commit(self, run: Callable[[], Awaitable[Reply]]) -> Reply:
        """Run a write or commit and watch whether it is answered.

        Raises
        ------
        CodedError
            NO_PRIMARY if the leader is being replaced; nothing was sent.
        """
        self._check_open()
        number = self.commits.record_commit_sent(self._clock.now())
        try:
            reply = await self.track_commit(run)
        except BaseException:
            self.commits.record_commit_abandoned(number)
            raise
        self.commits.record_answer(number, self._clock.now())
        return reply

    async def track_commit(self, run: Callable[[], Awaitable[Reply]]) -> Reply:
        """Run a write or commit, or pass one on, and remember its position.

        Raises
        ------
        CodedError
            As for `run_commit`.
        """
        self._check_open()
        self.commit_tracker.record_commit_sent()
        try:
            reply = await run()
            if reply.error is None and reply.position is not None:
                self.commit_tracker.record_answer(reply.position)
            return reply
        finally:
            self.commit_tracker.record_commit_ended()

    async def block_commits(self, former: str, limit: timedelta) -> LogPosition | None:
        """Send no more commits to a leader that is being replaced.

        Returns
        -------
        LogPosition or None
            No commit that this process sent was acknowledged above it; None if that
            is not known, if some are still under way at the limit, or if another
            database than ``former`` leads.
        """
        if former and self.leadership.leader_id not in ("", former):
            return None
        now = self._clock.now()
        self.commit_tracker.block_commits(self.leadership.epoch, now)
        until = now + limit
        while not self.commit_tracker.is_idle:
            if self._clock.now() >= until:
                return None
            await self.wait_change(_SETTLE_POLL)
        return self.commit_tracker.acknowledged

    def _is_sealed(self) -> bool:
        return self.commit_tracker.is_blocked(self.leadership.epoch, self._clock.now())

    def _check_open(self) -> None:
        if self._is_sealed():
            detail = f"{self.name}: the leader is being replaced"
            raise CodedError(ResultCode.NO_PRIMARY, detail, LEADER_RETRY_AFTER_MS)

    def leader(self) -> ServedDatabase | None:
        """Return the database that proved last that it leads, if it may get work."""
        served = self.databases.get(self.leadership.leader_id)
        if served is None or self._has_left(served, self._clock.now()):
            return None
        return served

    def lagged(self, served: ServedDatabase, min_position: LogPosition) -> None:
        """Take in that a database lacked a floor."""
        if served.database_id == self.leadership.leader_id:
            # A floor of its own that it lacks was lost in a change of the leader.
            self.leadership.clear_samples()
        served.progress.lagged(min_position, self.leadership.epoch, self._clock.now())

    def choose_for_read(
        self, min_position: LogPosition, excluded: Iterable[str]
    ) -> ServedDatabase | None:
        """Return the database that serves a read with a floor, or None."""
        now = self._clock.now()
        epoch = self.leadership.epoch
        candidates = [
            self._candidate(served, min_position)
            for served in self.databases.values()
            if served.database_id not in excluded
            and self._admits_reads(served)
            and self._may_have(served, min_position, epoch, now)
        ]
        chosen = choose_database(candidates, self._rng)
        return None if chosen is None else self.databases[chosen.database_id]

    def _is_back(self, database: Database) -> bool:
        served = self.databases.get(database.database_id)
        return (
            served is not None
            and served.database.started_at_ms == database.started_at_ms
        )

    def _may_have(
        self,
        served: ServedDatabase,
        min_position: LogPosition,
        epoch: int,
        now: timedelta,
    ) -> bool:
        if served.database_id == self.leadership.leader_id:
            return not self._has_left(served, now)
        return served.progress.may_have(min_position, epoch, now)

    def _admits_reads(self, served: ServedDatabase) -> bool:
        if served.database_id == self.leadership.leader_id:
            return True
        return self._registry.leaving_since(served.database_id) is None

    def _candidate(
        self, served: ServedDatabase, min_position: LogPosition
    ) -> ReadCandidate:
        database = served.database
        is_near = database.availability_zone == self._settings.availability_zone
        wait = estimate_wait(
            served.pool.load(database.slots), is_same_availability_zone=is_near
        )
        now = self._clock.now()
        wait += served.latency.value(now)
        position = served.progress.position
        return ReadCandidate(
            served.database_id,
            wait,
            served.database_id == self.leadership.leader_id,
            position is not None and min_position <= position,
            served.health.is_avoided(now),
        )

    def _has_left(self, served: ServedDatabase, now: timedelta) -> bool:
        since = self._registry.leaving_since(served.database_id)
        return (
            since is not None and now - since > self._settings.drain_limit * DRAIN_USE
        )
