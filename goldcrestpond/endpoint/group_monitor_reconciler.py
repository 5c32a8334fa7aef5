"""Reconciles a group: promotes primaries, updates followers and writes the record."""

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
from .group_monitor_followers import FollowerUpdater
from .group_monitor_promoter import Promoter
from .group_monitor_record import GroupRecord
from .group_monitor_wakeup import Wakeup

# The failure detector sends no event when a timeout expires.
SUSPECT_CHECK_INTERVAL = timedelta(milliseconds=20)
IDLE_CHECK_INTERVAL = timedelta(seconds=5)
# Interval at which each instance checks that the one that is to promote a database in
# the next term is still live.
REVIEW_INTERVAL = timedelta(seconds=120)
# Instances that find the same record out of date write it at random times within this.
RECORD_WRITE_SPREAD_S = 1.0
RECORD_RETRY_DELAY = timedelta(seconds=2)
FOLLOW_CHECK_INTERVAL = timedelta(milliseconds=200)

_logger = logging.getLogger(__name__)


class GroupReconciler:
    """Runs three loops: over the group's primary, its followers and its record.

    Each loop acts only on what the newest view of the group shows.

    Attributes
    ----------
    draining : collection of str
        Databases that are being drained.

    Parameters
    ----------
    view : GroupView
        Newest status of each database.
    promoter : Promoter
        Carries out promotions.
    follower_updater : FollowerUpdater
        Makes databases follow the primary.
    record : GroupRecord
        The group's row in the platform's table.
    control : GroupControl
        Control connections; closed after each promotion.
    identity : str
        Identity of this promoter.
    platform : Platform
        Lists the live instances.
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Spreads the actions of several instances in time.
    changed : Wakeup
        Set when the view has changed.
    primary_health : callable
        Returns the current ``PrimaryHealth``.
    request_polls : callable
        Requests a status poll of all databases.
    on_term_start : callable
        Receives each recorded ``TermStart``.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_control",
        "_follower_updater",
        "_identity",
        "_on_term_start",
        "_platform",
        "_primary_health",
        "_promoted_term",
        "_promoter",
        "_promotion_schedule",
        "_record",
        "_request_polls",
        "_reviewed_at",
        "_rng",
        "_view",
        "draining",
    )

    def __init__(
        self,
        view: GroupView,
        promoter: Promoter,
        follower_updater: FollowerUpdater,
        record: GroupRecord,
        control: GroupControl,
        identity: str,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        changed: Wakeup,
        *,
        primary_health: Callable[[], PrimaryHealth],
        request_polls: Callable[[], None],
        on_term_start: Callable[[TermStart], None],
    ):
        self._view = view
        self._promoter = promoter
        self._follower_updater = follower_updater
        self._record = record
        self._control = control
        self._identity = identity
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._changed = changed
        self._primary_health = primary_health
        self._request_polls = request_polls
        self._on_term_start = on_term_start
        self._promotion_schedule = PromotionSchedule(rng)
        self._promoted_term = 0
        self._reviewed_at = clock.now()
        self.draining: Collection[str] = frozenset()

    async def run(self) -> None:
        """Run the loops until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reconcile_primary)
            tasks.start_soon(self._reconcile_followers)
            tasks.start_soon(self._reconcile_record)

    # Primary

    async def _reconcile_primary(self) -> None:
        while True:
            remaining = self._time_until_promotion()
            if remaining is not None and remaining <= timedelta(0):
                await self._promote()
                continue
            is_idle = (
                remaining is None and self._primary_health() is PrimaryHealth.ALIVE
            )
            wait = IDLE_CHECK_INTERVAL if is_idle else SUSPECT_CHECK_INTERVAL
            await self._changed.wait(
                wait if remaining is None else min(wait, remaining)
            )

    def _time_until_promotion(self) -> timedelta | None:
        now = self._clock.now()
        primary = self._view.primary()
        is_drained = primary is not None and (
            primary.status.database in self.draining and self._has_undrained_database()
        )
        self._promotion_schedule.observe(
            self._view, self._primary_health(), is_drained=is_drained, now=now
        )
        highest = self._view.highest_term()
        due_at = self._promotion_schedule.due_at(
            holds_term=bool(self._record.unused_term(highest)),
            is_other_promoting=primary is not None and highest > primary.status.term,
        )
        return None if due_at is None else due_at - now

    def _has_undrained_database(self) -> bool:
        return any(name not in self.draining for name in self._view.databases)

    async def _promote(self) -> None:
        reason = self._promotion_schedule.reason
        try:
            promotion = await self._promoter.promote(reason, self.draining)
            self._promotion_schedule.restart(self._clock.now())
            if promotion is not None:
                await self._make_others_follow(promotion)
        finally:
            await self._control.aclose()

    async def _make_others_follow(self, promotion: Promotion) -> None:
        self._promoted_term = promotion.term
        self._request_polls()
        others = [name for name in self._view.databases if name != promotion.candidate]
        await self._follower_updater.make_databases_follow(
            others, promotion.term, promotion.candidate
        )
        self._request_polls()

    # Followers

    async def _reconcile_followers(self) -> None:
        while True:
            primary = self._view.primary()
            if primary is not None:
                term, name = primary.status.term, primary.status.database
                is_promoted_here = term == self._promoted_term
                due_databases = self._follower_updater.due_databases(
                    self._clock.now(), is_promoted_here=is_promoted_here
                )
                if due_databases:
                    await self._follower_updater.make_databases_follow(
                        due_databases, term, name
                    )
                    await self._control.aclose()
                    self._request_polls()
            await anyio.sleep(FOLLOW_CHECK_INTERVAL.total_seconds())

    # Record

    async def _reconcile_record(self) -> None:
        await self._try_record_operation(self._record.refresh)
        while True:
            needed_write = self._needed_write()
            is_review_due = self._clock.now() - self._reviewed_at >= REVIEW_INTERVAL
            if needed_write is None and not is_review_due:
                await self._changed.wait(REVIEW_INTERVAL)
                continue
            await self._delay_write()
            await self._try_record_operation(
                self._replace_lost_promoter if is_review_due else self._write_record
            )

    def _needed_write(self) -> RecordUpdate | None:
        primary = self._view.primary()
        status = None if primary is None else primary.status
        return find_record_update(self._record.record, status, self._identity)

    async def _delay_write(self) -> None:
        """Wait a random time, in which another instance may write the record.

        The instance that promoted the primary does not wait.
        """
        primary = self._view.primary()
        if primary is not None and primary.status.term == self._promoted_term:
            return
        await anyio.sleep(RECORD_WRITE_SPREAD_S * self._rng.random())
        await self._try_record_operation(self._record.refresh)

    async def _write_record(self) -> None:
        primary = self._view.primary()
        needed_write = self._needed_write()
        if primary is None:
            return
        if needed_write is RecordUpdate.ESTABLISH:
            status = primary.status
            start = TermStart(status.term, status.term_start_position)
            await self._record.write_primary(status.database, start)
        elif needed_write is RecordUpdate.ISSUE:
            await self._record.issue_next_term(self._view.highest_term())

    async def _replace_lost_promoter(self) -> None:
        """Issue the next term to this instance if its promoter is no longer live."""
        self._reviewed_at = self._clock.now()
        record = self._record.record
        if record is None:
            return
        live_instances = {
            instance.name for instance in await self._platform.instances()
        }
        if live_instances and instance_of(record.issued_to) not in live_instances:
            await self._record.issue_next_term(self._view.highest_term())

    async def _try_record_operation(self, operation: Callable) -> None:
        try:
            await operation()
        except CodedError as error:
            _logger.info("group monitor: cannot update the record: %s", error)
            await anyio.sleep(RECORD_RETRY_DELAY.total_seconds())
        record = self._record.record
        for start in record.starts if record else ():
            self._on_term_start(start)
