"""Replaces the leader of one service, once (shell)."""

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
from .store_era import StoreEra

REQUEST_TIMEOUT_S = 0.3  # a report is a round trip and a moment in a slot
PROMOTE_ATTEMPTS_MAX = 3
PAUSE_ATTEMPTS_MAX = 3  # terms that nobody who was read knows
CATCH_UP_TIMEOUT = timedelta(milliseconds=1000)
CATCH_UP_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class PreviousLeader:
    """The leader that is to be replaced, as far as this instance knows.

    Attributes
    ----------
    database_id : str
        Its id; empty if unknown.
    term : int
        The newest term in which this instance saw it lead; 0 if none.
    is_leaving : bool
        Whether it works and is leaving: its successor goes on receiving until it
        leads, so that commits are acknowledged meanwhile.
    """

    database_id: str
    term: int
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class Participants:
    """The databases whose logs count.

    Attributes
    ----------
    listed : list of Database
        Databases of the service, leaving ones included.
    unlisted : list of Database
        Those that were listed until a while ago.
    leaving_since : mapping of str to timedelta
        Reading since which listed ones are leaving, by id.
    """

    listed: list[Database]
    unlisted: list[Database]
    leaving_since: Mapping[str, timedelta]


class CommitBlocker(Protocol):
    """Holds commits to a failing leader back, on all instances."""

    async def block_commits(self, service: str, former: str) -> HighestAcknowledged:
        """Begin with it, and return what was acknowledged until then."""

    async def unblock_commits(self, service: str) -> None:
        """End it before its time."""


OpenLink = Callable[[Database], Awaitable[Link]]
Order = Callable[[Link], Awaitable[DatabaseReport]]


class FailoverAttempt:
    """One attempt, under one claim.

    Parameters
    ----------
    claim : Claim
        The claim; its token is used for one candidate.
    participants : Participants
        The databases whose logs count.
    former : Former
        The leader that is replaced.
    accepts_commit_loss : bool
        Whether the longest log is to do, though others may have held more.
    failover : Failover
        Orders the promotion.
    seals : Seals
        Tells what was acknowledged.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of readings.
    era : StoreEra
        Era of the store; a claim of a former one orders nothing.
    log : DecisionLog
        Sink of decisions.

    Attributes
    ----------
    may_lose_commits : bool
        Whether it was given up because an acknowledged commit might be lost.
    """

    __slots__ = (
        "_claim",
        "_clock",
        "_databases",
        "_era",
        "_failover",
        "_former",
        "_is_forced",
        "_is_sealed",
        "_links",
        "_log",
        "_open_link",
        "_participants",
        "_paused",
        "_seals",
        "may_lose_commits",
    )

    def __init__(
        self,
        claim: Claim,
        participants: Participants,
        former: PreviousLeader,
        accepts_commit_loss: bool,
        failover: Failover,
        seals: CommitBlocker,
        open_link: OpenLink,
        clock: Clock,
        era: StoreEra,
        log: DecisionLog,
    ):
        self._claim = claim
        self._participants = participants
        self._databases = {d.database_id: d for d in participants.listed}
        self._former = former
        self._is_forced = accepts_commit_loss
        self._failover = failover
        self._seals = seals
        self._open_link = open_link
        self._clock = clock
        self._era = era
        self._log = log
        self._links: dict[str, Link] = {}
        self._paused: dict[str, DatabaseReport] = {}
        self._is_sealed = False
        self.may_lose_commits = False

    async def run(self) -> bool:
        """Carry it out; return whether a promotion was ordered."""
        ordered = False
        try:
            ordered = await self._replace()
        finally:
            with anyio.CancelScope(shield=True):
                if not ordered:
                    await self._resume(self._paused)
                    if self._is_sealed:
                        await self._seals.unblock_commits(self._claim.service)
                await self._close()
        return ordered

    async def resume_receiving(self) -> None:
        """Let replicas receive that are still paused after a promotion."""
        reports = await self._ask(self._databases, _report)
        stuck = {i: r for i, r in reports.items() if r.paused_term}
        await self._resume(stuck)
        await self._close()

    async def _replace(self) -> bool:
        reports = await self._read_reports()
        if not reports:
            self._give_up("no database answers")
            return False
        term = next_term(reports, self._former.term)
        candidate = await self._find_candidate(reports, term)
        if not candidate:
            return False
        if not self._is_claim_usable():
            self._give_up("the claim is too old")
            return False
        return await self._order(candidate, term)

    async def _read_reports(self) -> dict[str, DatabaseReport]:
        if self._former.is_leaving:
            return await self._ask(self._databases, _report)
        # A leader that fails would only make its successor wait for the time limit.
        others = {
            database_id: database
            for database_id, database in self._databases.items()
            if database_id != self._former.database_id
        }
        return await self._ask(others, _report)

    async def _find_candidate(
        self, reports: dict[str, DatabaseReport], term: int
    ) -> str:
        former = self._former
        leader_id = find_newest_primary(reports) or former.database_id
        replicas = frozenset(self._databases.keys() - {leader_id})
        if former.database_id and leader_id != former.database_id:
            if reports[leader_id].term > former.term:
                self._give_up(f"{leader_id} says that it leads")
                return ""
            leader_id = former.database_id
            replicas = frozenset(self._databases.keys() - {leader_id})
        if former.is_leaving and leader_id in reports:
            return await self._find_planned(reports, leader_id, replicas, term)
        await self._pause(replicas & reports.keys(), term)
        choice = await self._choose(replicas)
        if not choice.database_id and self._participants.unlisted:
            await self._pause_departed(term)
            choice = await self._choose(replicas)
        if not choice.database_id:
            self._lack(choice.reason)
        return choice.database_id

    async def _choose(self, replicas: frozenset[str]) -> CandidateChoice:
        leaving_since = self._participants.leaving_since
        if self._is_forced:
            choice = choose_longest_log(self._paused, leaving_since)
            self._log.decision(
                "chosen without proof",
                service=self._claim.service,
                candidate=choice.database_id,
                reason=choice.reason,
            )
            return choice
        unread = (replicas | self._departed_ids()) - self._paused.keys()
        bound = await self._seal() if unread else HighestAcknowledged(None)
        return choose_candidate(self._paused, unread, bound, leaving_since)

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
            tasks.start_soon(self._pause_departed, term)
        needed = [report.received for report in self._paused.values()]
        unread = (others | self._departed_ids()) - self._paused.keys()
        if unread:
            # Commits may be acknowledged by what these receive.
            bound = await self._seal()
            if bound.position is None:
                self._lack(f"not read: {', '.join(sorted(unread))}")
                return ""
            needed.append(bound.position)
        # From here on commits are acknowledged by the candidate's receipt.
        leader = await self._ask({leader_id: self._databases[leader_id]}, _report)
        if leader_id not in leader:
            self._give_up(f"{leader_id}, which leaves, does not answer")
            return ""
        needed.append(leader[leader_id].received)
        if await self._wait_caught_up(candidate, needed):
            return candidate
        self._give_up(f"{candidate} does not catch up")
        return ""

    async def _wait_caught_up(self, candidate: str, needed: list[LogPosition]) -> bool:
        began_at = self._clock.now()
        while self._clock.now() - began_at < CATCH_UP_TIMEOUT:
            only = {candidate: self._databases[candidate]}
            reports = await self._ask(only, _report)
            report = reports.get(candidate)
            if report is not None and has_caught_up(report, needed):
                return True
            await anyio.sleep(CATCH_UP_POLL_S)
        return False

    async def _seal(self) -> HighestAcknowledged:
        """Return what was acknowledged; no more is until this attempt ends."""
        self._is_sealed = True
        claim = self._claim
        bound = await self._seals.block_commits(claim.service, self._former.database_id)
        self._log.decision(
            "commits held back",
            service=claim.service,
            token=claim.token,
            acknowledged=str(bound.position),
            unknown=bound.missing_instances,
        )
        return bound

    def _departed_ids(self) -> frozenset[str]:
        """Return the departed other than the leader, which need not be read.

        One that has started again under its id is not the one that departed.
        """
        return frozenset(
            f"{d.database_id} born {d.started_at_ms}"
            if d.database_id in self._databases and d not in self._databases.values()
            else d.database_id
            for d in self._participants.unlisted
            if d.database_id != self._former.database_id
        )

    async def _pause_departed(self, term: int) -> None:
        """Stop those that are no longer listed but still run."""
        gone = {
            d.database_id: d
            for d in self._participants.unlisted
            if d.database_id not in self._databases
        }
        self._databases |= gone
        former = self._former.database_id
        await self._pause(frozenset(gone.keys() - {former}), term)

    async def _pause(self, database_ids: frozenset[str], term: int) -> None:
        """Stop replicas from receiving.

        One stays unpaused if a term is as new that no database said it knows: its
        leader was promoted and gone before anybody heard of it. A later one does.
        """
        for attempt in range(PAUSE_ATTEMPTS_MAX):
            wanted = {i: self._databases[i] for i in database_ids}
            answers = await self._ask(wanted, _pause_in(term + attempt))
            stopped = {i: r for i, r in answers.items() if r.paused_term >= term}
            self._paused |= stopped
            database_ids = frozenset(answers.keys() - stopped.keys())
            if not database_ids:
                return

    async def _order(self, candidate: str, term: int) -> bool:
        claim = self._claim
        self._log.decision(
            "promotion ordered",
            service=claim.service,
            candidate=candidate,
            former=self._former.database_id,
            token=claim.token,
            term=term,
            planned=self._former.is_leaving,
            paused={i: str(r.received) for i, r in self._paused.items()},
        )
        for _ in range(PROMOTE_ATTEMPTS_MAX):
            try:
                await self._failover.promote(claim.service, candidate, claim.token)
            except PromotionRefused as error:
                self._give_up(f"refused: {error.detail}")
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
            return True
        # It may be carried out yet: what was paused for it stays so until it is,
        # or until the next attempt.
        return True

    def _is_claim_usable(self) -> bool:
        return self._claim.is_usable(self._clock.now(), self._era.current)

    async def _resume(self, reports: dict[str, DatabaseReport]) -> None:
        async def resume(link: Link) -> DatabaseReport:
            return await link.resume()

        wanted = {i: self._databases[i] for i in reports}
        resumed = await self._ask(wanted, resume)
        for database_id in reports.keys() - resumed.keys():
            self._log.decision("replica not resumed", database=database_id)

    async def _ask(
        self, databases: dict[str, Database], order: Order
    ) -> dict[str, DatabaseReport]:
        reports: dict[str, DatabaseReport] = {}

        async def ask(database: Database) -> None:
            database_id = database.database_id
            try:
                with anyio.fail_after(REQUEST_TIMEOUT_S):
                    reports[database_id] = await order(await self._link_to(database))
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
                tasks.start_soon(ask, database)
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

    def _lack(self, reason: str) -> None:
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


def _pause_in(term: int) -> Order:
    async def pause(link: Link) -> DatabaseReport:
        return await link.pause(term)

    return pause
