"""Replaces the leader of one service: one failover or switchover."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto
from typing import Protocol

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..group.log_position import LogPosition
from .choose_candidate import (
    CandidateChoice,
    choose_candidate,
    choose_longest_log,
    choose_planned_candidate,
    find_newest_primary,
    has_caught_up,
    next_term,
)
from .commit_block import CommitBlock
from .database import Database
from .database_report import DatabaseReport
from .database_requests import (
    DatabaseRequests,
    OpenLink,
    Request,
    pause_until,
    report,
    resume_replication,
)
from .decision_log import DecisionLog
from .failover import Failover, PromotionRefused
from .failover_claim import Claim
from .highest_acknowledged import HighestAcknowledged
from .log_members import LogMember, identify_member
from .store_era import StoreEra

PROMOTE_ATTEMPTS_MAX = 3
# Each attempt uses the next term; terms that no database reported may be in use.
PAUSE_ATTEMPTS_MAX = 3
CATCH_UP_TIMEOUT = timedelta(milliseconds=1000)
CATCH_UP_POLL_S = 0.02
WATCH_INTERVAL_S = 0.05
# Commits in flight are answered within milliseconds unless the leader is silent.
COMMIT_WAIT = timedelta(milliseconds=300)
NO_WAIT = timedelta(0)
# A leader that works answers them all, if it is given the time of a statement.
SWITCHOVER_COMMIT_WAIT = timedelta(milliseconds=1000)
# An instance that can't be asked to block commits learns of the claim from the store
# within this time after the earliest moment at which the leader may have begun to
# leave. That moment is up to a second too early, one reading of the registry; the
# instance reads the registry up to a second later, and then the claims several times
# a second.
SWITCHOVER_NOTICE = timedelta(milliseconds=2500)
# A leader that is known to leave is replaced after this time also if commits are still
# in flight: it may end before they do. Their callers are told that nothing is known.
BUSY_SWITCHOVER_LIMIT = timedelta(milliseconds=3000)
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class PreviousLeader:
    """What this instance knows of the leader that is to be replaced.

    Attributes
    ----------
    database_id : str
        Its id; empty if unknown.
    term : int
        The newest term in which this instance has verified it as leader; 0 if none.
    is_leaving : bool
        Whether it works and is leaving. Then this is a switchover: commits in flight
        are waited for, and the new leader goes on receiving until it has them all.
    """

    database_id: str
    term: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class Participants:
    """The databases whose logs may have acknowledged commits.

    Attributes
    ----------
    listed : list of Database
        Databases of the service, including leaving ones.
    unlisted : list of Database
        Databases that were removed from the registry recently.
    leaving_since : mapping of str to timedelta
        Time since which listed databases are leaving, by id.
    unaddressed : frozenset of LogMember
        Further databases that were removed, which cannot be read.
    received : mapping of str to LogPosition
        What listed databases have shown of the present leader's log, by id. One that
        reports less now has started again without its log.
    """

    listed: list[Database]
    unlisted: list[Database]
    leaving_since: Mapping[str, timedelta]
    unaddressed: frozenset[LogMember] = frozenset()
    received: Mapping[str, LogPosition] = field(default_factory=dict)


class CommitBlocker(Protocol):
    """Blocks commits to a service on all instances while its leader is replaced."""

    async def block_commits(
        self, block: CommitBlock, max_wait: timedelta
    ) -> HighestAcknowledged:
        """Block commits; return the highest position acknowledged before."""

    async def unblock_commits(self, service: str, token: int) -> None:
        """Unblock commits before the block expires, unless a later claim blocks."""


class OrderOutcome(Enum):
    """What is known of the order of a promotion."""

    NOT_ORDERED = auto()
    ACCEPTED = auto()
    # At least one call got no answer; it may be carried out seconds later.
    UNANSWERED = auto()


class FailoverAttempt:
    """One attempt to replace a leader, under one claim.

    Parameters
    ----------
    claim : Claim
        The claim; its token is used for one candidate only.
    list_databases : callable
        Returns the databases that are listed now. Those that appear while the attempt
        runs, or while its promotion is pending, are paused too.
    participants : Participants
        The databases whose logs may have acknowledged commits.
    previous : PreviousLeader
        The leader that is replaced.
    accepts_unproved : bool
        Whether to promote the longest log that can be read, even if other databases
        may have acknowledged commits beyond it, unless one is known to be.
    failover : Failover
        Requests the promotion.
    commit_blocker : CommitBlocker
        Blocks commits before a promotion is ordered, and returns the highest
        acknowledged position.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of the time.
    era : StoreEra
        Era of the store; nothing is promoted under a claim of an earlier one.
    log : DecisionLog
        Receives log events.

    Attributes
    ----------
    may_lose_commits : bool
        Whether the attempt was given up because it could lose acknowledged commits.
    candidate_id : str
        The database whose promotion was ordered; empty if none was.
    outcome : OrderOutcome
        What is known of that order.
    accepted_at : timedelta or None
        Time at which the platform had accepted it; None if it is not known to have.
    claim : Claim
        The claim, or the one that renewed it.
    """

    __slots__ = (
        "_accepts_unproved",
        "_acknowledged",
        "_clock",
        "_commit_blocker",
        "_databases",
        "_era",
        "_failover",
        "_has_blocked_commits",
        "_list_databases",
        "_log",
        "_participants",
        "_paused",
        "_previous",
        "_replaced",
        "_requests",
        "_term",
        "_told_to_pause",
        "accepted_at",
        "candidate_id",
        "claim",
        "may_lose_commits",
        "outcome",
    )

    def __init__(
        self,
        claim: Claim,
        list_databases: Callable[[], Iterable[Database]],
        participants: Participants,
        previous: PreviousLeader,
        accepts_unproved: bool,
        failover: Failover,
        commit_blocker: CommitBlocker,
        open_link: OpenLink,
        clock: Clock,
        era: StoreEra,
        log: DecisionLog,
    ):
        self.claim = claim
        self._list_databases = list_databases
        self._participants = participants
        self._databases = {d.database_id: d for d in participants.listed}
        self._previous = previous
        self._accepts_unproved = accepts_unproved
        self._failover = failover
        self._commit_blocker = commit_blocker
        self._clock = clock
        self._era = era
        self._log = log
        self._requests = DatabaseRequests(open_link, log)
        self._paused: dict[str, DatabaseReport] = {}
        # Databases that have started again under their ids since the attempt began.
        self._replaced: set[LogMember] = set()
        # Also those that have not answered: they may be paused.
        self._told_to_pause: frozenset[str] = frozenset()
        self._acknowledged = HighestAcknowledged(None)
        self._has_blocked_commits = False
        self._term = 0
        self.may_lose_commits = False
        self.candidate_id = ""
        self.outcome = OrderOutcome.NOT_ORDERED
        self.accepted_at: timedelta | None = None

    async def run(self) -> bool:
        """Replace the leader; return whether a promotion was ordered.

        Replicas stay paused and commits blocked until `end` is called.
        """
        try:
            return await self._replace()
        finally:
            with anyio.CancelScope(shield=True):
                await self._requests.aclose()

    def is_claim_usable(self) -> bool:
        """Return whether no other instance can have claimed the service since."""
        return self.claim.is_usable(self._clock.now(), self._era.current)

    async def pause_newly_listed(self) -> None:
        """Stop databases from receiving that were listed since the attempt began.

        What they receive may be acknowledged, though the candidate lacks it. Nobody
        would resume what is paused under a claim that another instance has replaced.
        """
        if not self.is_claim_usable():
            return
        new = [d for d in self._list_databases() if not self._is_known(d)]
        if not new:
            return
        self._replaced |= {
            identify_member(self._databases[d.database_id])
            for d in new
            if d.database_id in self._databases
        }
        self._databases |= {d.database_id: d for d in new}
        self._log.decision(
            "listed during a failover",
            service=self.claim.service,
            token=self.claim.token,
            databases=[d.database_id for d in new],
        )
        await self._pause(frozenset(d.database_id for d in new), self._term)

    def _is_known(self, database: Database) -> bool:
        known = self._databases.get(database.database_id)
        return known is not None and known.started_at_ms == database.started_at_ms

    async def _watch_listed(self, end: anyio.Event) -> None:
        while not end.is_set():
            await self.pause_newly_listed()
            with anyio.move_on_after(WATCH_INTERVAL_S):
                await end.wait()

    async def keep_commits_blocked(self) -> None:
        """Block commits anew, before the block expires, if they are blocked."""
        if self._has_blocked_commits:
            await self._block_commits(NO_WAIT)

    async def end(self, reason: str) -> bool:
        """Let replicas receive and commits be sent again: no promotion is pending.

        Nothing is undone unless the claim can be used, since another instance that has
        claimed the service relies on the replicas that it has paused.

        Returns
        -------
        bool
            Whether no replica is left paused.
        """
        if not self.is_claim_usable():
            return False
        is_resumed = await self._resume(reason)
        if self._has_blocked_commits:
            self._has_blocked_commits = False
            await self._commit_blocker.unblock_commits(
                self.claim.service, self.claim.token
            )
        await self._requests.aclose()
        return is_resumed

    async def _replace(self) -> bool:
        reports = await self._read_reports()
        if not reports:
            self._give_up("no database answers")
            return False
        self._term = term = next_term(reports, self._previous.term)
        candidate = await self._find_candidate(reports, term)
        if not candidate:
            return False
        if not self.is_claim_usable():
            self._give_up("the claim has expired")
            return False
        return await self._request_promotion(candidate)

    async def _read_reports(self) -> dict[str, DatabaseReport]:
        if self._previous.is_leaving:
            return await self._request_reports(self._databases, report)
        # Reading a failed leader would only delay the failover until the time limit.
        others = {
            database_id: database
            for database_id, database in self._databases.items()
            if database_id != self._previous.database_id
        }
        return await self._request_reports(others, report)

    async def _find_candidate(
        self, reports: dict[str, DatabaseReport], term: int
    ) -> str:
        previous = self._previous
        leader_id = find_newest_primary(reports) or previous.database_id
        replicas = frozenset(self._databases.keys() - {leader_id})
        if previous.database_id and leader_id != previous.database_id:
            if reports[leader_id].term > previous.term:
                self._give_up(f"{leader_id} reports to lead in a newer term")
                return ""
            leader_id = previous.database_id
            replicas = frozenset(self._databases.keys() - {leader_id})
        if previous.is_leaving and leader_id in reports:
            return await self._find_planned(reports, leader_id, replicas, term)
        await self._stop_commits(replicas & reports.keys(), term)
        choice = await self._choose(leader_id)
        if not choice.database_id and self._participants.unlisted:
            await self._pause_unlisted(term)
            choice = await self._choose(leader_id)
        if not choice.database_id:
            self._give_up_as_lossy(choice.reason)
        return choice.database_id

    async def _stop_commits(self, replicas: frozenset[str], term: int) -> None:
        """Have no commits acknowledged until the attempt has ended.

        Instances block them, and replicas stop receiving. Either keeps commits that
        the candidate lacks from being acknowledged where the other fails: at a
        replica whose entry has not been read yet, or at an instance that is cut off.
        """
        max_wait = SWITCHOVER_COMMIT_WAIT if self._previous.is_leaving else NO_WAIT
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._block_commits, max_wait)
            tasks.start_soon(self._pause, replicas, term)
        await self.pause_newly_listed()

    async def _choose(self, leader_id: str) -> CandidateChoice:
        replicas = frozenset(self._databases.keys() - {leader_id})
        leaving_since = self._participants.leaving_since
        if self._accepts_unproved:
            if self._acknowledged.position is None:
                await self._block_commits(COMMIT_WAIT)
            choice = choose_longest_log(self._paused, self._acknowledged, leaving_since)
            if choice.database_id:
                self._log.decision(
                    "chosen without proof",
                    service=self.claim.service,
                    candidate=choice.database_id,
                    reason=choice.reason,
                )
            return choice
        unread = (replicas | self._unlisted_ids()) - self._paused.keys()
        unread |= self._lost_logs()
        if unread and self._acknowledged.position is None:
            # An instance may have been too busy to answer.
            await self._block_commits(COMMIT_WAIT)
        return choose_candidate(self._paused, unread, self._acknowledged, leaving_since)

    async def _find_planned(
        self,
        reports: dict[str, DatabaseReport],
        leader_id: str,
        replicas: frozenset[str],
        term: int,
    ) -> str:
        leaving_since = self._participants.leaving_since
        choice = choose_planned_candidate(reports, replicas, leaving_since)
        candidate = choice.database_id
        if not candidate:
            self._give_up(choice.reason)
            return ""
        others = replicas - {candidate}
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_commits, others & reports.keys(), term)
            tasks.start_soon(self._pause_unlisted, term)
        reason = self._find_reason_to_wait(leaving_since.get(leader_id))
        if reason:
            self._give_up(reason)
            return ""
        needed = [report.received for report in self._paused.values()]
        unread = (others | self._unlisted_ids()) - self._paused.keys()
        if self._acknowledged.position is not None:
            needed.append(self._acknowledged.position)
        elif unread:
            self._give_up_as_lossy(f"databases not read: {', '.join(sorted(unread))}")
            return ""
        # The leader gets no more commits, and the candidate receives all that it has.
        leader = await self._request_reports(
            {leader_id: self._databases[leader_id]}, report
        )
        if leader_id not in leader:
            self._give_up(f"the leaving leader {leader_id} does not answer")
            return ""
        needed.append(leader[leader_id].received)
        if await self._wait_caught_up(candidate, needed):
            return candidate
        self._give_up(f"{candidate} does not catch up in time")
        return ""

    def _find_reason_to_wait(self, leaving_since: timedelta | None) -> str:
        """Return why a leaving leader is not replaced yet; empty if it may be.

        An instance that does not answer may send commits, until it has read from the
        store that the leader is replaced. A commit in flight may be run by the leader
        after its position was read.
        """
        if leaving_since is None:
            return ""
        known_for = self._clock.now() - leaving_since
        silent, busy = (
            ", ".join(names)
            for names in (
                self._acknowledged.silent_instances,
                self._acknowledged.busy_instances,
            )
        )
        if silent and known_for < SWITCHOVER_NOTICE:
            return f"no answer from instances {silent}"
        if busy and known_for < BUSY_SWITCHOVER_LIMIT:
            return f"commits in flight at instances {busy}"
        return ""

    async def _wait_caught_up(self, candidate: str, needed: list[LogPosition]) -> bool:
        began_at = self._clock.now()
        while self._clock.now() - began_at < CATCH_UP_TIMEOUT:
            candidate_only = {candidate: self._databases[candidate]}
            reports = await self._request_reports(candidate_only, report)
            if candidate in reports and has_caught_up(reports[candidate], needed):
                return True
            await anyio.sleep(CATCH_UP_POLL_S)
        return False

    async def _block_commits(self, max_wait: timedelta) -> None:
        """Block commits until nothing is pending; learn the highest acknowledged."""
        self._has_blocked_commits = True
        claim = self.claim
        # Also once the candidate leads, an earlier order may replace it.
        candidate_id = "" if claim.left.may_be_pending else self.candidate_id
        block = CommitBlock(
            claim.service, claim.token, self._previous.database_id, candidate_id
        )
        self._acknowledged = await self._commit_blocker.block_commits(block, max_wait)
        self._log.decision(
            "commits held back",
            service=claim.service,
            token=claim.token,
            acknowledged=str(self._acknowledged.position),
            unknown=self._acknowledged.missing_instances,
        )

    def _unlisted_ids(self) -> frozenset[str]:
        """Return the ids of the unlisted databases other than the previous leader.

        An unlisted database that was started again under its id may have lost its
        log. It is named with its start time here, so that it counts as unread.
        """
        known = {identify_member(d) for d in self._databases.values()}
        unlisted = {identify_member(d) for d in self._participants.unlisted}
        return frozenset(
            f"{m.database_id} started at {m.started_at_ms}"
            if m.database_id in self._databases and m not in known
            else m.database_id
            for m in unlisted | self._participants.unaddressed | self._replaced
            if m.database_id != self._previous.database_id
        )

    def _lost_logs(self) -> frozenset[str]:
        """Return names for the former logs of replicas that report to have less now.

        One that has started again without its log may be known to have had none. It is
        empty then, beside others that aren't.
        """
        received = self._participants.received
        has_commits = any(paused.received.position for paused in self._paused.values())
        lost = set()
        for database_id, paused in self._paused.items():
            if paused.received < received.get(database_id, paused.received):
                lost.add(f"{database_id} up to {received[database_id]}")
            elif has_commits and not paused.received.position:
                lost.add(f"{database_id}, which is empty")
        return frozenset(lost)

    async def _pause_unlisted(self, term: int) -> None:
        """Pause replicas that are no longer listed but may still run."""
        unlisted = {
            d.database_id: d
            for d in self._participants.unlisted
            if d.database_id not in self._databases
        }
        self._databases |= unlisted
        previous_id = self._previous.database_id
        await self._pause(frozenset(unlisted.keys() - {previous_id}), term)

    async def _pause(self, database_ids: frozenset[str], term: int) -> None:
        """Stop replicas from receiving until a term begins.

        A replica does not pause for a term that has begun. None of the databases that
        were read need know of that term: its leader may have failed right after its
        promotion, before a replica received anything from it. Later attempts pause for
        a later term.
        """
        for attempt in range(PAUSE_ATTEMPTS_MAX):
            self._told_to_pause |= database_ids
            databases = [self._databases[i] for i in database_ids]
            reports = await self._requests.send(databases, pause_until(term + attempt))
            paused = {i: r for i, r in reports.items() if r.paused_term >= term}
            self._paused |= paused
            database_ids = frozenset(reports.keys() - paused.keys())
            if not database_ids:
                return

    async def _request_promotion(self, candidate: str) -> bool:
        claim = self.claim
        self.candidate_id = candidate
        self._log.decision(
            "promotion ordered",
            service=claim.service,
            candidate=candidate,
            former=self._previous.database_id,
            token=claim.token,
            term=self._term,
            planned=self._previous.is_leaving,
            paused={i: str(r.received) for i, r in self._paused.items()},
            unlisted=sorted(self._unlisted_ids()),
            has_blocked_commits=self._has_blocked_commits,
            claim_age_ms=self._claim_age_ms(),
        )
        is_answered = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_listed, is_answered)
            await self._call_until_answered()
            is_answered.set()
        return self.outcome is not OrderOutcome.NOT_ORDERED

    async def _call_until_answered(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(PROMOTE_ATTEMPTS_MAX):
                # The instances learn the candidate, whose lead ends the block.
                tasks.start_soon(self.keep_commits_blocked)
                if await self._call_promotion() or not self.is_claim_usable():
                    break

    async def _call_promotion(self) -> bool:
        """Order the promotion once; return whether the platform has answered."""
        claim = self.claim
        try:
            await self._failover.promote(claim.service, self.candidate_id, claim.token)
        except PromotionRefused as error:
            # An earlier call without an answer may still be carried out, once the
            # database runs again.
            if self.outcome is OrderOutcome.NOT_ORDERED:
                self._give_up(f"promotion refused: {error.detail}")
            return True
        except CodedError as error:
            self.outcome = OrderOutcome.UNANSWERED
            self._log.decision(
                "promotion not answered",
                service=claim.service,
                token=claim.token,
                detail=error.detail,
            )
            return False
        if self.outcome is OrderOutcome.NOT_ORDERED:
            self.outcome = OrderOutcome.ACCEPTED
        self.accepted_at = self._clock.now()
        self._log.decision(
            "promotion accepted",
            service=claim.service,
            token=claim.token,
            claim_age_ms=self._claim_age_ms(),
        )
        return True

    def _claim_age_ms(self) -> int:
        return (self._clock.now() - self.claim.claimed_at) // _MILLISECOND

    async def _resume(self, reason: str) -> bool:
        """Resume each replica that may be paused; return whether all have answered."""
        databases = [self._databases[i] for i in self._told_to_pause]
        resumed = await self._requests.send(databases, resume_replication)
        unread = sorted(self._told_to_pause - resumed.keys())
        if databases:
            self._log.decision(
                "replicas resumed",
                service=self.claim.service,
                token=self.claim.token,
                claim_age_ms=self._claim_age_ms(),
                resumed=sorted(resumed),
                unread=unread,
                reason=reason,
            )
        return not unread

    async def _request_reports(
        self, databases: Mapping[str, Database], request: Request
    ) -> dict[str, DatabaseReport]:
        return await self._requests.send(databases.values(), request)

    def _give_up_as_lossy(self, reason: str) -> None:
        self.may_lose_commits = True
        self._give_up(reason)

    def _give_up(self, reason: str) -> None:
        self._log.decision(
            "succession given up",
            service=self.claim.service,
            token=self.claim.token,
            reason=reason,
        )
