"""Brings a failover to its end: a takeover, or no order that may be carried out."""

from dataclasses import replace
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
from .failover_claim import Claim, ClaimWriter, token_era
from .leftovers import NOTHING_LEFT, Leftovers
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


class Takeover(Enum):
    """How the wait for an ordered promotion ended."""

    SEEN = auto()
    # Another database works as the leader.
    OTHER_LEADS = auto()
    NOT_SEEN = auto()


class FailoverCompletion:
    """Ends attempts of this instance, and those that another one has left open.

    A claim is left open in the store from before its first effect until nothing is left
    of its attempt, or of an earlier one: no promotion that may still be carried out, no
    replica that is paused, no commits that are blocked. `finish` alone decides this.
    Whatever is undone is undone under a claim that can be used, since another instance
    that has claimed the service relies on what it has paused and blocked itself.

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
        # Claims whose end the store doesn't know yet.
        self._unclosed: dict[str, Claim] = {}

    async def claim(
        self, service: Service, former_id: str, may_be_paused: bool = False
    ) -> Claim | None:
        """Claim a service, with what earlier attempts may have left.

        Parameters
        ----------
        service : Service
            The service.
        former_id : str
            Id of the leader that is replaced; empty if unknown.
        may_be_paused : bool
            Whether replicas may be paused of which the store doesn't know.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store doesn't answer whether it was written.
        """
        claim = await self._claims.claim(service.name, former_id)
        if claim is None:
            return None
        if self._has_lost_claim(service):
            claim = claim.with_order_pending()
        left = claim.left | Leftovers(may_be_paused=may_be_paused)
        claim = replace(claim, left=left)
        self._unclosed.pop(service.name, None)
        if left != NOTHING_LEFT:
            self._log.decision(
                "earlier attempt not ended",
                service=service.name,
                token=claim.token,
                may_be_pending=left.may_be_pending,
                may_be_paused=left.may_be_paused,
            )
        return claim

    async def complete(self, service: Service, attempt: FailoverAttempt) -> bool:
        """Wait for the takeover of an attempt, or make sure that none will come.

        Returns
        -------
        bool
            Whether nothing is left of it, or of an earlier one.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if the store or the platform does not answer; the
            claim stays open.
        """
        if attempt.outcome is OrderOutcome.NOT_ORDERED:
            return await self.finish(service, attempt.claim, "given up", attempt)
        takeover = await self._wait_for_takeover(service, attempt)
        accepted_at = attempt.accepted_at
        if takeover is not Takeover.SEEN and attempt.outcome is OrderOutcome.UNANSWERED:
            # One of its calls may be carried out later.
            attempt.claim = attempt.claim.with_order_pending()
            accepted_at = None
        reason = takeover.name.lower()
        return await self.finish(service, attempt.claim, reason, attempt, accepted_at)

    async def finish(
        self,
        service: Service,
        claim: Claim,
        reason: str,
        attempt: FailoverAttempt | None = None,
        accepted_at: timedelta | None = None,
    ) -> bool:
        """End a claim: undo what is left of its attempt and of those before it.

        Nothing is undone while a promotion may be pending; then the claim is left open,
        and commits stay blocked.

        Parameters
        ----------
        service : Service
            The service.
        claim : Claim
            The claim.
        reason : str
            Why it ends.
        attempt : FailoverAttempt or None
            The attempt that was made under it, if there was one.
        accepted_at : timedelta or None
            Time at which the platform had accepted the attempt's order, which made
            those before it void; None if it is not known to have.

        Returns
        -------
        bool
            Whether nothing is left.

        Raises
        ------
        CodedError
            As for `complete`.
        """
        had_leftovers = claim.left != NOTHING_LEFT
        if claim.left.may_be_pending:
            if accepted_at is None:
                claim, accepted_at = await self._void_orders(service, claim, attempt)
            if accepted_at is not None:
                claim = await self._hold(service, claim, accepted_at, attempt)
            if claim.left.may_be_pending:
                await self._close(claim, "order may be pending")
                return False
        if not claim.is_usable(self._clock.now(), self._era.current):
            renewed = await self._renew(claim, attempt)
            if renewed is None:
                return False
            claim = renewed
        is_resumed = True
        if attempt is not None:
            is_resumed = await attempt.end(reason)
        if attempt is None or had_leftovers:
            await self._directory.unblock_commits(service.name, claim.token)
        if claim.left.may_be_paused:
            is_resumed &= await self._resume_all(claim, service)
        left = Leftovers(may_be_paused=not is_resumed)
        await self._close(replace(claim, left=left), reason)
        return is_resumed

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
        unclosed = self._unclosed.pop(service.name, None)
        if unclosed is not None and unclosed.revision.era == self._era.current:
            await self._close(unclosed, "not recorded before")
            if unclosed.left == NOTHING_LEFT:
                return True
        token = service.commit_tracker.token
        unended = (await self._claims.read_unended()).get(service.name)
        may_be_pending = unended is not None and unended.left.may_be_pending
        if may_be_pending or self._has_lost_claim(service):
            leader_id = await self._verify_leader(service, self._clock.now())
            if not leader_id:
                return False
        else:
            service.unblock_commits(token)
            paused, unread = await self._read_paused(service)
            if not paused:
                return not unread
            leader_id = service.leadership.leader_id
        claim = await self.claim(service, leader_id, may_be_paused=True)
        return claim is not None and await self.finish(service, claim, "left open")

    def _has_lost_claim(self, service: Service) -> bool:
        """Return whether the store may have lost a claim of an earlier era."""
        tracker = service.commit_tracker
        is_earlier = 0 < tracker.token and token_era(tracker.token) < self._era.current
        return is_earlier and tracker.is_blocked(self._clock.now())

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

    async def _void_orders(
        self, service: Service, claim: Claim, attempt: FailoverAttempt | None
    ) -> tuple[Claim, timedelta | None]:
        """Make the platform refuse all earlier orders; commits are blocked meanwhile.

        It refuses a token that is lower than one that it has seen. Naming the present
        leader under a newer one changes nothing else. That call may be carried out late
        as well, so that the next one needs a newer token, and names the leader that is
        verified then. Nothing is blocked under the first claim's token any more, as a
        block under it may name a candidate.

        Parameters
        ----------
        service : Service
            The service.
        claim : Claim
            The claim, whose token is newer than that of any order of another claim.
        attempt : FailoverAttempt or None
            The attempt that was made under it; its replicas stay paused meanwhile.

        Returns
        -------
        claim : Claim
            The claim, renewed.
        voided_at : timedelta or None
            Time since which no earlier order can be accepted; None if no leader works,
            or if another instance has claimed the service.
        """
        renewed = await self._renew(claim, attempt)
        if renewed is None:
            return claim, None
        claim = renewed
        verifier = self._directory.leader_verifier(service.name)
        ends_at = self._clock.now() + LATE_ORDER_LIMIT
        while self._clock.now() < ends_at:
            await self._block(claim)
            await _pause_newly_listed(attempt)
            leader_id = await self._verify_leader(service, self._clock.now())
            failing_for = verifier.failing_for(self._clock.now())
            if failing_for is not None and failing_for >= LEADERLESS_LIMIT:
                return claim, None
            if not leader_id:
                continue
            renewed = await self._renew(claim, attempt)
            if renewed is None:
                return claim, None
            claim = renewed.with_order_pending()
            if await self._call_for_leader(claim, leader_id):
                break
            ends_at = self._clock.now() + LATE_ORDER_LIMIT
        return claim, self._clock.now()

    async def _hold(
        self,
        service: Service,
        claim: Claim,
        voided_at: timedelta,
        attempt: FailoverAttempt | None,
    ) -> Claim:
        """Wait until orders that were accepted before a time have taken effect.

        Returns
        -------
        Claim
            The claim, renewed, with no promotion left; or unchanged, if another
            instance has claimed the service.
        """
        await self._block(claim)
        while self._clock.now() < voided_at + PROMOTION_LIMIT:
            await _pause_newly_listed(attempt)
            self._directory.leader_verifier(service.name).check_now()
            await service.wait_change(POLL_INTERVAL)
        renewed = await self._renew(claim, attempt)
        if renewed is None:
            return claim
        return replace(renewed, left=replace(claim.left, pending_since_ms=None))

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

    async def _close(self, claim: Claim, reason: str) -> None:
        if claim.left != NOTHING_LEFT:
            self._log.decision(
                "attempt left open",
                service=claim.service,
                token=claim.token,
                reason=reason,
                may_be_pending=claim.left.may_be_pending,
                may_be_paused=claim.left.may_be_paused,
            )
        self._unclosed[claim.service] = claim
        await self._claims.close(claim)
        self._unclosed.pop(claim.service, None)

    async def _renew(
        self, claim: Claim, attempt: FailoverAttempt | None
    ) -> Claim | None:
        renewed = await self._claims.renew(claim)
        if renewed is None:
            self._log.decision(
                "claimed by another instance",
                service=claim.service,
                token=claim.token,
            )
        elif attempt is not None:
            attempt.claim = renewed
        return renewed

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


async def _pause_newly_listed(attempt: FailoverAttempt | None) -> None:
    if attempt is not None:
        await attempt.pause_newly_listed()


def _list_databases(service: Service) -> dict[str, Database]:
    """Return the databases that may be paused; one that isn't listed may still run."""
    unlisted = {d.database_id: d for d in service.recently_unlisted()}
    return unlisted | {i: served.database for i, served in service.databases.items()}


def _find_leader(service: Service, since: timedelta) -> str:
    """Return the id of a leader that was verified since a time; empty if none was."""
    sample = service.leadership.newest_sample()
    if sample is None or sample.sampled_after < since:
        return ""
    return service.leadership.leader_id
