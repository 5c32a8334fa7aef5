"""Keeps a group with a primary, followers and a record."""

import logging
import random
from collections.abc import Callable, Collection
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..store.platform import Platform
from ..term.find_record_update import RecordUpdate, find_record_update, instance_of
from ..term.group_view import GroupView
from ..term.primary_health import PrimaryHealth
from ..term.promotion import Promotion
from ..term.promotion_schedule import PromotionSchedule
from ..term.term_start import TermStart
from .group_monitor_control import GroupControl
from .group_monitor_followers import Followers
from .group_monitor_promoter import Promoter
from .group_monitor_record import GroupRecord
from .group_monitor_wakeup import Wakeup

SUSPECT_CHECK = timedelta(milliseconds=20)  # silence grows without any event
QUIET_CHECK = timedelta(seconds=5)
# Each holder asks this seldom whether the promoter of the next term lives.
REVIEW_INTERVAL = timedelta(seconds=120)
RECORD_SPREAD_S = 1.0  # holders that see the same gap do not write at once
RECORD_RETRY = timedelta(seconds=2)
FOLLOW_CHECK = timedelta(milliseconds=200)

_logger = logging.getLogger(__name__)


class GroupKeeper:
    """Loops that act on a group; each acts only on what the view shows.

    Parameters
    ----------
    view : GroupView
        Newest statuses.
    promoter : Promoter
        Carries out promotions.
    followers : Followers
        Makes databases follow.
    record : GroupRecord
        The group's row.
    control : GroupControl
        Connections of the promoter, closed after each promotion.
    identity : str
        Identity of this promoter.
    platform : Platform
        Lists the live instances.
    clock : Clock
        Monotonic readings.
    rng : random.Random
        Spreads the acts of several instances.
    changed : Wakeup
        Called when the view has changed.
    primary_health : callable
        Returns the judgement on the primary.
    demand : callable
        Asks all databases for their status.
    learn_start : callable
        Receives each recorded ``TermStart``.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_control",
        "_demand",
        "_followers",
        "_identity",
        "_learn_start",
        "_own_term",
        "_platform",
        "_promoter",
        "_record",
        "_reviewed_at",
        "_rng",
        "_succession",
        "_verdict",
        "_view",
        "draining",
    )

    def __init__(
        self,
        view: GroupView,
        promoter: Promoter,
        followers: Followers,
        record: GroupRecord,
        control: GroupControl,
        identity: str,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        changed: Wakeup,
        *,
        primary_health: Callable[[], PrimaryHealth],
        demand: Callable[[], None],
        learn_start: Callable[[TermStart], None],
    ):
        self._view = view
        self._promoter = promoter
        self._followers = followers
        self._record = record
        self._control = control
        self._identity = identity
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._changed = changed
        self._verdict = primary_health
        self._demand = demand
        self._learn_start = learn_start
        self._succession = PromotionSchedule(rng)
        self._own_term = 0
        self._reviewed_at = clock.now()
        self.draining: Collection[str] = frozenset()

    async def run(self) -> None:
        """Act until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_primary)
            tasks.start_soon(self._keep_followers)
            tasks.start_soon(self._keep_record)

    # Primary

    async def _keep_primary(self) -> None:
        while True:
            rest = self._time_until_due()
            if rest is not None and rest <= timedelta(0):
                await self._promote()
                continue
            is_quiet = rest is None and self._verdict() is PrimaryHealth.ALIVE
            limit = QUIET_CHECK if is_quiet else SUSPECT_CHECK
            await self._changed.wait(limit if rest is None else min(limit, rest))

    def _time_until_due(self) -> timedelta | None:
        now = self._clock.now()
        primary = self._view.primary()
        is_drained = primary is not None and (
            primary.status.database in self.draining and self._has_successor()
        )
        self._succession.observe(
            self._view, self._verdict(), is_drained=is_drained, now=now
        )
        highest = self._view.highest_term()
        due_at = self._succession.due_at(
            holds_term=bool(self._record.held_term(highest)),
            is_other_promoting=primary is not None and highest > primary.status.term,
        )
        return None if due_at is None else due_at - now

    def _has_successor(self) -> bool:
        return any(name not in self.draining for name in self._view.databases)

    async def _promote(self) -> None:
        reason = self._succession.reason
        try:
            promotion = await self._promoter.promote(reason, self.draining)
            self._succession.restart(self._clock.now())
            if promotion is not None:
                await self._introduce(promotion)
        finally:
            await self._control.aclose()

    async def _introduce(self, promotion: Promotion) -> None:
        self._own_term = promotion.term
        self._demand()
        others = [n for n in self._view.databases if n != promotion.candidate]
        await self._followers.settle(others, promotion.term, promotion.candidate)
        self._demand()

    # Followers

    async def _keep_followers(self) -> None:
        while True:
            primary = self._view.primary()
            if primary is not None:
                term, name = primary.status.term, primary.status.database
                is_own = term == self._own_term
                due = self._followers.due(self._clock.now(), is_own_term=is_own)
                if due:
                    await self._followers.settle(due, term, name)
                    await self._control.aclose()
                    self._demand()
            await anyio.sleep(FOLLOW_CHECK.total_seconds())

    # Record

    async def _keep_record(self) -> None:
        await self._attempt(self._record.refresh)
        while True:
            duty = self._duty()
            is_review = self._clock.now() - self._reviewed_at >= REVIEW_INTERVAL
            if duty is None and not is_review:
                await self._changed.wait(REVIEW_INTERVAL)
                continue
            await self._spread()
            await self._attempt(self._review if is_review else self._fulfil)

    def _duty(self) -> RecordUpdate | None:
        primary = self._view.primary()
        status = None if primary is None else primary.status
        return find_record_update(self._record.record, status, self._identity)

    async def _spread(self) -> None:
        """Let one of several instances write; the promoter writes at once."""
        primary = self._view.primary()
        if primary is not None and primary.status.term == self._own_term:
            return
        await anyio.sleep(RECORD_SPREAD_S * self._rng.random())
        await self._attempt(self._record.refresh)

    async def _fulfil(self) -> None:
        primary = self._view.primary()
        duty = self._duty()
        if primary is None:
            return
        if duty is RecordUpdate.ESTABLISH:
            status = primary.status
            start = TermStart(status.term, status.term_start_position)
            await self._record.establish(status.database, start)
        elif duty is RecordUpdate.ISSUE:
            await self._record.issue(self._view.highest_term())

    async def _review(self) -> None:
        """Take over the next term from a promoter that lives no longer."""
        self._reviewed_at = self._clock.now()
        record = self._record.record
        if record is None:
            return
        live = {instance.name for instance in await self._platform.instances()}
        if live and instance_of(record.issued_to) not in live:
            await self._record.issue(self._view.highest_term())

    async def _attempt(self, act: Callable) -> None:
        try:
            await act()
        except CodedError as error:
            _logger.info("group monitor: the record was not kept: %s", error)
            await anyio.sleep(RECORD_RETRY.total_seconds())
        record = self._record.record
        for start in record.starts if record else ():
            self._learn_start(start)
