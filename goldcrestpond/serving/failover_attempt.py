"""Replaces the leader of one service: one failover or switchover."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
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
from .database import Database
from .database_report import DatabaseReport
from .decision_log import DecisionLog
from .failover import Failover, PromotionRefused
from .failover_claim import Claim
from .highest_acknowledged import HighestAcknowledged
from .link import Link
from .log_members import LogMember, identify_member
from .store_era import StoreEra

REQUEST_TIMEOUT_S = 0.3  # a report takes a round trip and briefly uses a slot
PROMOTE_ATTEMPTS_MAX = 3
# Each attempt uses the next term; terms that no database reported may be in use.
PAUSE_ATTEMPTS_MAX = 3
CATCH_UP_TIMEOUT = timedelta(milliseconds=1000)
CATCH_UP_POLL_S = 0.02
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
        Whether it works and is leaving. Then this is a switchover: the new leader goes
        on receiving until it leads, so that commits are acknowledged meanwhile.
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
    """

    listed: list[Database]
    unlisted: list[Database]
    leaving_since: Mapping[str, timedelta]
    unaddressed: frozenset[LogMember] = frozenset()


class CommitBlocker(Protocol):
    """Blocks commits to a leader on all instances while it is replaced."""

    async def block_commits(
        self, service: str, previous_leader_id: str
    ) -> HighestAcknowledged:
        """Block commits; return the highest position acknowledged before."""

    async def unblock_commits(self, service: str) -> None:
        """Unblock commits before the block expires."""


OpenLink = Callable[[Database], Awaitable[Link]]
Request = Callable[[Link], Awaitable[DatabaseReport]]


class FailoverAttempt:
    """One attempt to replace a leader, under one claim.

    Parameters
    ----------
    claim : Claim
        The claim; its token is used for one candidate only.
    participants : Participants
        The databases whose logs may have acknowledged commits.
    previous : PreviousLeader
        The leader that is replaced.
    accepts_commit_loss : bool
        Whether to promote the longest log that can be read, even if other databases
        may have acknowledged commits beyond it.
    failover : Failover
        Requests the promotion.
    commit_blocker : CommitBlocker
        Blocks commits and returns the highest acknowledged position.
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
    """

    __slots__ = (
        "_accepts_commit_loss",
        "_claim",
        "_clock",
        "_commit_blocker",
        "_databases",
        "_era",
        "_failover",
        "_has_blocked_commits",
        "_links",
        "_log",
        "_open_link",
        "_participants",
        "_paused",
        "_previous",
        "may_lose_commits",
    )

    def __init__(
        self,
        claim: Claim,
        participants: Participants,
        previous: PreviousLeader,
        accepts_commit_loss: bool,
        failover: Failover,
        commit_blocker: CommitBlocker,
        open_link: OpenLink,
        clock: Clock,
        era: StoreEra,
        log: DecisionLog,
    ):
        self._claim = claim
        self._participants = participants
        self._databases = {d.database_id: d for d in participants.listed}
        self._previous = previous
        self._accepts_commit_loss = accepts_commit_loss
        self._failover = failover
        self._commit_blocker = commit_blocker
        self._open_link = open_link
        self._clock = clock
        self._era = era
        self._log = log
        self._links: dict[str, Link] = {}
        self._paused: dict[str, DatabaseReport] = {}
        self._has_blocked_commits = False
        self.may_lose_commits = False

    async def run(self) -> bool:
        """Replace the leader; return whether a promotion was requested."""
        is_requested = False
        try:
            is_requested = await self._replace()
        finally:
            with anyio.CancelScope(shield=True):
                if not is_requested:
                    await self._resume(self._paused, "given up")
                    if self._has_blocked_commits:
                        await self._commit_blocker.unblock_commits(self._claim.service)
                await self._close()
        return is_requested

    async def resume_receiving(self) -> None:
        """Resume the replicas that are still paused after a promotion."""
        reports = await self._request_reports(self._databases, _report)
        still_paused = {i: r for i, r in reports.items() if r.paused_term}
        await self._resume(still_paused, "promotion requested")
        await self._close()

    async def _replace(self) -> bool:
        reports = await self._read_reports()
        if not reports:
            self._give_up("no database answers")
            return False
        term = next_term(reports, self._previous.term)
        candidate = await self._find_candidate(reports, term)
        if not candidate:
            return False
        if not self._is_claim_usable():
            self._give_up("the claim has expired")
            return False
        return await self._request_promotion(candidate, term)

    async def _read_reports(self) -> dict[str, DatabaseReport]:
        if self._previous.is_leaving:
            return await self._request_reports(self._databases, _report)
        # Reading a failed leader would only delay the failover until the time limit.
        others = {
            database_id: database
            for database_id, database in self._databases.items()
            if database_id != self._previous.database_id
        }
        return await self._request_reports(others, _report)

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
        await self._pause(replicas & reports.keys(), term)
        choice = await self._choose(replicas)
        if not choice.database_id and self._participants.unlisted:
            await self._pause_unlisted(term)
            choice = await self._choose(replicas)
        if not choice.database_id:
            self._give_up_as_lossy(choice.reason)
        return choice.database_id

    async def _choose(self, replicas: frozenset[str]) -> CandidateChoice:
        leaving_since = self._participants.leaving_since
        if self._accepts_commit_loss:
            choice = choose_longest_log(self._paused, leaving_since)
            self._log.decision(
                "chosen without proof",
                service=self._claim.service,
                candidate=choice.database_id,
                reason=choice.reason,
            )
            return choice
        unread = (replicas | self._unlisted_ids()) - self._paused.keys()
        acknowledged = (
            await self._block_commits() if unread else HighestAcknowledged(None)
        )
        return choose_candidate(self._paused, unread, acknowledged, leaving_since)

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
            tasks.start_soon(self._pause, others & reports.keys(), term)
            tasks.start_soon(self._pause_unlisted, term)
        needed = [report.received for report in self._paused.values()]
        unread = (others | self._unlisted_ids()) - self._paused.keys()
        if unread:
            # Commits that these receive may still be acknowledged.
            acknowledged = await self._block_commits()
            if acknowledged.position is None:
                self._give_up_as_lossy(
                    f"databases not read: {', '.join(sorted(unread))}"
                )
                return ""
            needed.append(acknowledged.position)
        # From here on a commit is acknowledged only after the candidate received it.
        leader = await self._request_reports(
            {leader_id: self._databases[leader_id]}, _report
        )
        if leader_id not in leader:
            self._give_up(f"the leaving leader {leader_id} does not answer")
            return ""
        needed.append(leader[leader_id].received)
        if await self._wait_caught_up(candidate, needed):
            return candidate
        self._give_up(f"{candidate} does not catch up in time")
        return ""

    async def _wait_caught_up(self, candidate: str, needed: list[LogPosition]) -> bool:
        began_at = self._clock.now()
        while self._clock.now() - began_at < CATCH_UP_TIMEOUT:
            candidate_only = {candidate: self._databases[candidate]}
            reports = await self._request_reports(candidate_only, _report)
            report = reports.get(candidate)
            if report is not None and has_caught_up(report, needed):
                return True
            await anyio.sleep(CATCH_UP_POLL_S)
        return False

    async def _block_commits(self) -> HighestAcknowledged:
        """Block commits until this attempt ends; return the highest acknowledged."""
        self._has_blocked_commits = True
        claim = self._claim
        acknowledged = await self._commit_blocker.block_commits(
            claim.service, self._previous.database_id
        )
        self._log.decision(
            "commits held back",
            service=claim.service,
            token=claim.token,
            acknowledged=str(acknowledged.position),
            unknown=acknowledged.missing_instances,
        )
        return acknowledged

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
            for m in unlisted | self._participants.unaddressed
            if m.database_id != self._previous.database_id
        )

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
            databases = {i: self._databases[i] for i in database_ids}
            reports = await self._request_reports(
                databases, _pause_until(term + attempt)
            )
            paused = {i: r for i, r in reports.items() if r.paused_term >= term}
            self._paused |= paused
            database_ids = frozenset(reports.keys() - paused.keys())
            if not database_ids:
                return

    async def _request_promotion(self, candidate: str, term: int) -> bool:
        claim = self._claim
        self._log.decision(
            "promotion ordered",
            service=claim.service,
            candidate=candidate,
            former=self._previous.database_id,
            token=claim.token,
            term=term,
            planned=self._previous.is_leaving,
            paused={i: str(r.received) for i, r in self._paused.items()},
            unlisted=sorted(self._unlisted_ids()),
            has_blocked_commits=self._has_blocked_commits,
            claim_age_ms=self._claim_age_ms(),
        )
        for _ in range(PROMOTE_ATTEMPTS_MAX):
            try:
                await self._failover.promote(claim.service, candidate, claim.token)
            except PromotionRefused as error:
                self._give_up(f"promotion refused: {error.detail}")
                return False
            except CodedError as error:
                self._log.decision(
                    "promotion not answered",
                    service=claim.service,
                    token=claim.token,
                    detail=error.detail,
                )
                if not self._is_claim_usable():
                    break
                continue
            self._log.decision(
                "promotion accepted",
                service=claim.service,
                token=claim.token,
                claim_age_ms=self._claim_age_ms(),
            )
            return True
        # The promotion may still be carried out: the paused replicas stay paused until
        # it is, or until the next attempt.
        return True

    def _is_claim_usable(self) -> bool:
        return self._claim.is_usable(self._clock.now(), self._era.current)

    def _claim_age_ms(self) -> int:
        return (self._clock.now() - self._claim.claimed_at) // _MILLISECOND

    async def _resume(self, reports: dict[str, DatabaseReport], reason: str) -> None:
        async def resume_replication(link: Link) -> DatabaseReport:
            return await link.resume_replication()

        databases = {i: self._databases[i] for i in reports}
        resumed = await self._request_reports(databases, resume_replication)
        if resumed:
            self._log.decision(
                "replicas resumed",
                service=self._claim.service,
                token=self._claim.token,
                claim_age_ms=self._claim_age_ms(),
                paused_terms={i: r.paused_term for i, r in reports.items()},
                reason=reason,
            )
        for database_id in reports.keys() - resumed.keys():
            self._log.decision("replica not resumed", database=database_id)

    async def _request_reports(
        self, databases: dict[str, Database], request: Request
    ) -> dict[str, DatabaseReport]:
        reports: dict[str, DatabaseReport] = {}

        async def request_report(database: Database) -> None:
            database_id = database.database_id
            try:
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    reports[database_id] = await request(await self._link_to(database))
            except (CodedError, TimeoutError) as error:
                await self._drop_link(database_id)
                self._log.decision(
                    "database not read",
                    service=database.service,
                    database=database_id,
                    detail=str(error) or "no answer",
                )

        async with anyio.create_task_group() as tasks:
            for database in databases.values():
                tasks.start_soon(request_report, database)
        return reports

    async def _link_to(self, database: Database) -> Link:
        link = self._links.get(database.database_id)
        if link is None:
            link = await self._open_link(database)
            self._links[database.database_id] = link
        return link

    async def _drop_link(self, database_id: str) -> None:
        link = self._links.pop(database_id, None)
        if link is not None:
            await link.aclose()

    async def _close(self) -> None:
        for database_id in list(self._links):
            await self._drop_link(database_id)

    def _give_up_as_lossy(self, reason: str) -> None:
        self.may_lose_commits = True
        self._give_up(reason)

    def _give_up(self, reason: str) -> None:
        self._log.decision(
            "succession given up",
            service=self._claim.service,
            token=self._claim.token,
            reason=reason,
        )


async def _report(link: Link) -> DatabaseReport:
    return await link.report()


def _pause_until(term: int) -> Request:
    async def pause_replication(link: Link) -> DatabaseReport:
        return await link.pause_replication(term)

    return pause_replication
