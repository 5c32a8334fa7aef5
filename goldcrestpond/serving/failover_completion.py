"""Brings a failover to its end: a takeover, or no order that may be carried out."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum, auto

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .commit_block import CommitBlock
from .commit_tracker import BLOCK_LIFETIME
from .database import Database
from .database_requests import DatabaseRequests, OpenLink, report, resume_replication
from .decision_log import DecisionLog
from .directory import Directory
from .failover import LATE_ORDER_LIMIT, Failover, PromotionRefused
from .failover_attempt import NO_WAIT, FailoverAttempt, OrderOutcome
from .failover_claim import Claim, ClaimState, ClaimWriter, token_era
from .service import Service
from .store_era import StoreEra

# Longer than a promotion takes once the platform has accepted its order.
PROMOTION_LIMIT = timedelta(milliseconds=2000)
# While no database leads, the wait for the candidate is longer: it may be overloaded.
TAKEOVER_TIMEOUT = timedelta(milliseconds=3500)
POLL_INTERVAL = timedelta(milliseconds=50)
# A leader that fails for this long is left to the next attempt.
LEADERLESS_LIMIT = timedelta(milliseconds=400)
SAMPLE_WAIT = timedelta(milliseconds=250)  # the time limit of a leader check
# Commits stay blocked meanwhile, with room for one renewal that gets lost.
BLOCK_RENEWAL_INTERVAL = BLOCK_LIFETIME / 3
_MILLISECOND = timedelta(milliseconds=1)
Watch = Callable[[], Awaitable[None]]


async def _watch_nothing() -> None:
    pass


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
        takeover = await self._wait_for_takeover(service, attempt)
        if takeover is not Takeover.SEEN and attempt.outcome is OrderOutcome.UNANSWERED:
            # From now on the candidate's lead proves nothing: a call that makes its
            # order void may be carried out late, too.
            if not await self._renew(attempt):
                return True
            attempt.candidate_id = ""
            claim = await self._settle(
                service, attempt.claim, attempt.pause_newly_listed
            )
            if claim is None:
                return False
            attempt.claim = claim
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
        tracker = service.commit_tracker
        token = tracker.token
        unended = (await self._claims.read_unended()).get(service.name)
        may_be_pending = unended is not None and unended.may_be_pending
        if tracker.is_blocked(self._clock.now()):
            # The store may have lost a claim of an earlier era.
            may_be_pending |= bool(token) and token_era(token) < self._era.current
        if not may_be_pending:
            service.unblock_commits(token)
            paused, unread = await self._read_paused(service)
            if not paused:
                return not unread
            return await self._resume_left_paused(service)
        leader_id = await self._verify_leader(service, self._clock.now())
        if not leader_id:
            return False
        claim = await self._claims.claim(
            service.name, leader_id, unended and unended.pending_since_ms
        )
        if claim is None:
            return False
        claim = await self._settle(service, claim)
        if claim is None:
            return False
        is_resumed = await self._resume_all(claim, service)
        await self._directory.unblock_commits(service.name, claim.token)
        await self._close(claim, is_resumed)
        return is_resumed

    async def _resume_left_paused(self, service: Service) -> bool:
        claim = await self._claims.claim(service.name, service.leadership.leader_id)
        if claim is None:
            return False
        is_resumed = await self._resume_all(claim, service)
        await self._close(claim, is_resumed)
        return is_resumed

    def forget(self, service: str) -> None:
        """Discard an earlier claim that was not closed: a new one has replaced it."""
        self._unclosed.pop(service, None)

    async def _wait_for_takeover(
        self, service: Service, attempt: FailoverAttempt
    ) -> Takeover:
        began_at = renewed_at = self._clock.now()
        leader_verifier = self._directory.leader_verifier(service.name)
        takeover = Takeover.NOT_SEEN
        while True:
            now = self._clock.now()
            if service.leadership.leader_id == attempt.candidate_id:
                takeover = Takeover.SEEN
                break
            if now - began_at >= TAKEOVER_TIMEOUT:
                break
            if _find_leader(service, began_at):
                # The former one is back.
                is_unanswered = attempt.outcome is OrderOutcome.UNANSWERED
                if is_unanswered or now - began_at >= PROMOTION_LIMIT:
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

    async def _settle(
        self, service: Service, claim: Claim, watch: Watch = _watch_nothing
    ) -> Claim | None:
        """Make the platform refuse all earlier orders; commits are blocked meanwhile.

        It refuses a token that is lower than one that it has seen. Naming the present
        leader under a newer one changes nothing else. That call may be carried out late
        as well, so that the next one needs a newer token, and names the leader that is
        verified then. Once it was accepted, an order that had been accepted before may
        still take effect.

        Parameters
        ----------
        service : Service
            The service.
        claim : Claim
            The claim, whose token is newer than that of any earlier order.
        watch : callable
            Called again and again meanwhile.

        Returns
        -------
        Claim or None
            The claim, renewed; None if no leader works, or if another instance has
            claimed the service: then its order replaces the earlier ones.
        """
        verifier = self._directory.leader_verifier(service.name)
        ends_at = self._clock.now() + LATE_ORDER_LIMIT
        is_accepted = False
        while not is_accepted and self._clock.now() < ends_at:
            await self._block(claim)
            await watch()
            asked_at = self._clock.now()
            leader_id = await self._verify_leader(service, asked_at)
            failing_for = verifier.failing_for(self._clock.now())
            if failing_for is not None and failing_for >= LEADERLESS_LIMIT:
                return None
            if not leader_id:
                continue
            renewed = await self._claims.renew(claim)
            if renewed is None:
                return None
            claim = renewed
            is_accepted = await self._call_for_leader(claim, leader_id)
            ends_at = self._clock.now() + LATE_ORDER_LIMIT
        await self._block(claim)
        settled_at = self._clock.now() + PROMOTION_LIMIT
        while self._clock.now() < settled_at:
            await watch()
            verifier.check_now()
            await service.wait_change(POLL_INTERVAL)
        return await self._claims.renew(claim)

    async def _block(self, claim: Claim) -> None:
        block = CommitBlock(claim.service, claim.token, claim.former)
        await self._directory.block_commits(block, NO_WAIT)

    async def _verify_leader(self, service: Service, asked_at: timedelta) -> str:
        """Verify the leader once more; return its id, or "" if none was verified."""
        ends_at = asked_at + SAMPLE_WAIT
        while not (leader_id := _find_leader(service, asked_at)):
            remaining = ends_at - self._clock.now()
            if remaining <= timedelta(0):
                return ""
            self._directory.leader_verifier(service.name).check_now()
            await service.wait_sample(remaining)
        return leader_id

    async def _call_for_leader(self, claim: Claim, leader_id: str) -> bool:
        """Order the promotion of the present leader; return whether it was accepted."""
        detail = "accepted"
        try:
            await self._failover.promote(claim.service, leader_id, claim.token)
        except PromotionRefused as error:
            detail = f"refused: {error.detail}"
        except CodedError as error:
            detail = f"not answered: {error.detail}"
        is_accepted = detail == "accepted"
        self._log.decision(
            "earlier orders made void" if is_accepted else "orders not voided",
            service=claim.service,
            token=claim.token,
            leader=leader_id,
            detail=detail,
        )
        return is_accepted

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
