"""Brings a failover to its end: a takeover, or no order that may be carried out."""

from datetime import timedelta
from enum import Enum, auto

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .commit_block import CommitBlock
from .commit_tracker import BLOCK_LIFETIME
from .database import Database
from .database_requests import DatabaseRequests, OpenLink, report, resume_replication
from .decision_log import DecisionLog
from .directory import Directory
from .failover import Failover, PromotionRefused
from .failover_attempt import NO_WAIT, FailoverAttempt, OrderOutcome
from .failover_claim import Claim, ClaimState, ClaimWriter
from .service import Service
from .store_era import StoreEra

# Longer than a promotion takes once the platform has accepted its order.
PROMOTION_LIMIT = timedelta(milliseconds=2000)
# While no database leads, the wait for the candidate is longer: it may be overloaded.
TAKEOVER_TIMEOUT = timedelta(milliseconds=3500)
# The platform may carry out a call that it has not answered up to 12 s later.
LATE_ORDER_LIMIT = timedelta(seconds=12)
POLL_INTERVAL = timedelta(milliseconds=50)
# A leader that fails for this long is left to the next attempt.
LEADERLESS_LIMIT = timedelta(milliseconds=400)
SAMPLE_WAIT = timedelta(milliseconds=250)  # the time limit of a leader check
# Commits stay blocked meanwhile, with room for one renewal that gets lost.
BLOCK_RENEWAL_INTERVAL = BLOCK_LIFETIME / 3
_MILLISECOND = timedelta(milliseconds=1)


class Takeover(Enum):
    """How the wait for an ordered promotion ended."""

    SEEN = auto()
    # Another database works as the leader.
    OTHER_LEADS = auto()
    NOT_SEEN = auto()


class FailoverCompletion:
    """Ends attempts of this instance, and those that another one has left open.

    A claim is left open in the store from before its first effect until nothing of it
    is left: no promotion that may still be carried out, no replica that is paused, no
    commits that are blocked. Whatever is undone is undone under a claim that can be
    used, since another instance that has claimed the service relies on what it has
    paused and blocked itself.

    Parameters
    ----------
    directory : Directory
        The services.
    claims : ClaimWriter
        Renews and closes claims.
    failover : Failover
        Orders promotions.
    open_link : callable
        Opens a connection.
    clock : Clock
        Source of the time.
    era : StoreEra
        Era of the store.
    log : DecisionLog
        Receives log events.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_directory",
        "_era",
        "_failover",
        "_log",
        "_open_link",
        "_pending_since",
        "_unclosed",
    )

    def __init__(
        self,
        directory: Directory,
        claims: ClaimWriter,
        failover: Failover,
        open_link: OpenLink,
        clock: Clock,
        era: StoreEra,
        log: DecisionLog,
    ):
        self._directory = directory
        self._claims = claims
        self._failover = failover
        self._open_link = open_link
        self._clock = clock
        self._era = era
        self._log = log
        # Since when the open claim of a service is known.
        self._pending_since: dict[str, timedelta] = {}
        # Claims that were ended but not closed, and whether no replica is paused.
        self._unclosed: dict[str, tuple[Claim, bool]] = {}

    async def complete(self, service: Service, attempt: FailoverAttempt) -> bool:
        """Wait for the takeover of an attempt, or make sure that none will come.

        Returns
        -------
        bool
            Whether nothing is left of it, or another instance has taken it over.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store or the platform does not answer; the
            claim stays open.
        """
        if attempt.outcome is OrderOutcome.NOT_ORDERED:
            if not attempt.is_ended:
                if not attempt.is_claim_usable() and not await self._renew(attempt):
                    return True
                attempt.is_ended = await attempt.end("given up")
            await self._close(attempt.claim, attempt.is_ended)
            return attempt.is_ended
        takeover = await self._wait_for_takeover(service, attempt, TAKEOVER_TIMEOUT)
        if takeover is not Takeover.SEEN:
            if attempt.outcome is OrderOutcome.UNANSWERED:
                if not await self._void(service, attempt):
                    return False
                # The order may have been accepted before it was made void.
                await self._wait_for_takeover(service, attempt, PROMOTION_LIMIT)
        if not attempt.is_claim_usable() and not await self._renew(attempt):
            return True
        is_ended = await attempt.end(takeover.name.lower())
        await self._close(attempt.claim, is_ended)
        return is_ended

    async def recover(self, service: Service) -> bool:
        """End what is left of an attempt whose owner has not ended it.

        While no leader is verified this is left to the next attempt, whose token and
        pauses replace the present ones.

        Returns
        -------
        bool
            Whether nothing is left.

        Raises
        ------
        CodedError
            As for `complete`.
        """
        if service.name in self._unclosed:
            claim, is_resumed = self._unclosed[service.name]
            await self._close(claim, is_resumed)
            return is_resumed
        began_at = self._clock.now()
        self._directory.leader_verifier(service.name).check_now()
        may_be_pending = await self._may_be_pending(service.name)
        if not may_be_pending:
            service.unblock_commits(service.commit_tracker.token)
            paused, unread = await self._read_paused(service)
            if not paused:
                return not unread
        await service.wait_sample(SAMPLE_WAIT)
        leader_id = _find_leader(service, began_at)
        if not leader_id:
            return False
        claim = await self._claims.claim(service.name, leader_id)
        if claim is None:
            return False
        if may_be_pending:
            block = CommitBlock(service.name, claim.token, leader_id)
            await self._directory.block_commits(block, NO_WAIT)
            if not await self._call_for_leader(claim, leader_id):
                return False
            # An order may have been accepted before it was made void.
            await anyio.sleep(PROMOTION_LIMIT.total_seconds())
            claim = await self._claims.renew(claim)
            if claim is None:
                return True
        is_resumed = await self._resume_all(claim, service)
        if may_be_pending:
            await self._directory.unblock_commits(service.name, claim.token)
        await self._close(claim, is_resumed)
        self._log.decision(
            "attempt of another instance ended",
            service=service.name,
            token=claim.token,
            leader=leader_id,
            was_pending=may_be_pending,
            is_resumed=is_resumed,
        )
        return is_resumed

    def forget(self, service: str) -> None:
        """Discard what is known of earlier claims: a new one has replaced them."""
        self._unclosed.pop(service, None)
        self._pending_since.pop(service, None)

    async def _may_be_pending(self, service: str) -> bool:
        """Return whether an order of an open claim may still be carried out."""
        unended = (await self._claims.read_unended()).get(service)
        if unended is None or not unended.may_be_pending:
            self._pending_since.pop(service, None)
            return False
        now = self._clock.now()
        since = self._pending_since.setdefault(service, now)
        return now - since < LATE_ORDER_LIMIT

    async def _wait_for_takeover(
        self, service: Service, attempt: FailoverAttempt, timeout: timedelta
    ) -> Takeover:
        began_at = renewed_at = self._clock.now()
        leader_verifier = self._directory.leader_verifier(service.name)
        takeover = Takeover.NOT_SEEN
        while True:
            now = self._clock.now()
            if service.leadership.leader_id == attempt.candidate_id:
                takeover = Takeover.SEEN
                break
            if now - began_at >= timeout:
                break
            if _find_leader(service, began_at):
                # The former one is back.
                is_unanswered = attempt.outcome is OrderOutcome.UNANSWERED
                if timeout > PROMOTION_LIMIT and is_unanswered:
                    break
                if now - began_at >= PROMOTION_LIMIT:
                    break
            if now - renewed_at >= BLOCK_RENEWAL_INTERVAL:
                renewed_at = now
                await attempt.keep_commits_blocked()
            await attempt.pause_newly_listed()
            leader_verifier.check_now()
            await service.wait_change(POLL_INTERVAL)
        if takeover is Takeover.NOT_SEEN and service.leadership.leader_id:
            takeover = Takeover.OTHER_LEADS
        self._log.decision(
            "takeover seen" if takeover is Takeover.SEEN else "takeover not seen",
            service=service.name,
            token=attempt.claim.token,
            candidate=attempt.candidate_id,
            leader=service.leadership.leader_id,
            after_ms=(now - began_at) // _MILLISECOND,
        )
        return takeover

    async def _void(self, service: Service, attempt: FailoverAttempt) -> bool:
        """Make the platform refuse an order that may still be carried out.

        It refuses a token that is lower than one that it has seen. Naming the present
        leader under a newer one changes nothing else. Until it has answered, commits
        stay blocked, for as long as the order may be carried out.

        Returns
        -------
        bool
            False if no leader works, or if another instance has claimed the service:
            then its order replaces this one.
        """
        began_at = self._clock.now()
        if not await self._renew(attempt):
            return False
        while self._clock.now() - began_at < LATE_ORDER_LIMIT:
            await attempt.keep_commits_blocked()
            await attempt.pause_newly_listed()
            verifier = self._directory.leader_verifier(service.name)
            leader_id = _find_leader(service, began_at)
            if leader_id == attempt.candidate_id:
                return True
            failing_for = verifier.failing_for(self._clock.now())
            if failing_for is not None and failing_for >= LEADERLESS_LIMIT:
                return False
            if not leader_id:
                verifier.check_now()
                await service.wait_change(POLL_INTERVAL)
                continue
            if not attempt.is_claim_usable() and not await self._renew(attempt):
                return False
            if await self._call_for_leader(attempt.claim, leader_id):
                return True
            verifier.check_now()
            await service.wait_change(POLL_INTERVAL)
        return True

    async def _call_for_leader(self, claim: Claim, leader_id: str) -> bool:
        """Order the promotion of the present leader; return whether it was accepted."""
        detail = "accepted"
        try:
            await self._failover.promote(claim.service, leader_id, claim.token)
        except PromotionRefused as error:
            detail = f"refused: {error.detail}"
        except CodedError as error:
            detail = f"not answered: {error.detail}"
        self._log.decision(
            "earlier orders made void" if detail == "accepted" else "orders not voided",
            service=claim.service,
            token=claim.token,
            leader=leader_id,
            detail=detail,
        )
        return detail == "accepted"

    async def _close(self, claim: Claim, is_resumed: bool) -> None:
        state = ClaimState.ENDED if is_resumed else ClaimState.PAUSED
        self._unclosed[claim.service] = (claim, is_resumed)
        await self._claims.close(claim, state)
        self._unclosed.pop(claim.service, None)

    async def _renew(self, attempt: FailoverAttempt) -> bool:
        renewed = await self._claims.renew(attempt.claim)
        if renewed is None:
            self._log.decision(
                "claimed by another instance",
                service=attempt.claim.service,
                token=attempt.claim.token,
            )
            return False
        attempt.claim = renewed
        return True

    async def _read_paused(self, service: Service) -> tuple[dict[str, int], list[str]]:
        """Return the terms for which replicas are paused, and who was not read."""
        requests = DatabaseRequests(self._open_link, self._log)
        databases = _list_databases(service)
        reports = await requests.send(databases.values(), report)
        await requests.aclose()
        paused = {i: r.paused_term for i, r in reports.items() if r.paused_term}
        return paused, sorted(databases.keys() - reports.keys())

    async def _resume_all(self, claim: Claim, service: Service) -> bool:
        """Resume paused replicas; return whether it is known that none is paused."""
        paused, unread = await self._read_paused(service)
        databases = _list_databases(service)
        requests = DatabaseRequests(self._open_link, self._log)
        resumed = {}
        if claim.is_usable(self._clock.now(), self._era.current):
            resumed = await requests.send(
                (databases[i] for i in paused if i in databases), resume_replication
            )
        await requests.aclose()
        self._log.decision(
            "replicas resumed",
            service=claim.service,
            token=claim.token,
            paused_terms=paused,
            resumed=sorted(resumed),
            unread=unread,
            reason="left paused",
        )
        return not unread and resumed.keys() == paused.keys()


def _list_databases(service: Service) -> dict[str, Database]:
    return {i: served.database for i, served in service.databases.items()}


def _find_leader(service: Service, since: timedelta) -> str:
    """Return the id of a leader that was verified since a time; empty if none was."""
    sample = service.leadership.newest_sample()
    if sample is None or sample.sampled_after < since:
        return ""
    return service.leadership.leader_id
