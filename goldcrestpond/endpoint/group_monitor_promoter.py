"""Promotes a new primary of one group, as a failover or a switchover."""

import logging
from collections.abc import Callable, Collection
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..events.recorder import EventRecorder
from ..group.database_status import DatabaseStatus
from ..term.group_view import GroupView
from ..term.promotion import Promotion
from ..term.promotion_reason import PromotionReason
from ..term.promotion_schedule import PROMOTION_LIMIT
from ..term.promotion_step import PromotionStep
from .group_monitor_control import GroupControl, is_term_refusal
from .group_monitor_record import GroupRecord

RETRY_DELAY = timedelta(milliseconds=30)  # short, to reach a restarting database soon
CATCH_UP_TIMEOUT = timedelta(milliseconds=400)  # no writes are accepted meanwhile
CATCH_UP_POLL_INTERVAL = timedelta(milliseconds=2)

_logger = logging.getLogger(__name__)


class Promoter:
    """Carries out promotions, one at a time.

    A promotion obtains a term, fences a majority of the databases in it, and promotes
    the fenced database with the newest log. A switchover first fences the primary and
    waits until a replica has caught up with it.

    Parameters
    ----------
    group : str
        Name of the group.
    promoter : str
        Identity of this promoter.
    view : GroupView
        Newest status of each database.
    control : GroupControl
        Sends the control statements.
    record : GroupRecord
        The group's row in the platform's table, which issues terms.
    clock : Clock
        Source of monotonic time.
    recorder : EventRecorder
        Records the events of the time line.
    on_status : callable
        Receives ``(status, sent_at)`` for each answer of a database to a step.
    """

    __slots__ = (
        "_clock",
        "_control",
        "_group",
        "_on_status",
        "_promoter",
        "_record",
        "_recorder",
        "_view",
    )

    def __init__(
        self,
        group: str,
        promoter: str,
        view: GroupView,
        control: GroupControl,
        record: GroupRecord,
        clock: Clock,
        recorder: EventRecorder,
        on_status: Callable[[DatabaseStatus, timedelta], None],
    ):
        self._group = group
        self._promoter = promoter
        self._view = view
        self._control = control
        self._record = record
        self._clock = clock
        self._recorder = recorder
        self._on_status = on_status

    async def promote(
        self, reason: PromotionReason, avoided: Collection[str]
    ) -> Promotion | None:
        """Promote a primary for a new term.

        Parameters
        ----------
        reason : PromotionReason
            Why a new primary is needed.
        avoided : collection of str
            Databases that are promoted only if no other fenced one holds all of their
            entries.

        Returns
        -------
        Promotion or None
            The finished promotion; None if no term was obtained in time, or another
            promoter won or a step timed out.
        """
        term = 0
        with anyio.move_on_after(_seconds(PROMOTION_LIMIT)):
            term = await self._obtain_term()
        if not term:
            return None
        self._record_event("promotion_started", term=term, reason=reason.value)
        preferred = ""
        excluded = ""
        if reason is PromotionReason.STALLED:
            excluded = self._primary_name()
        with anyio.move_on_after(_seconds(PROMOTION_LIMIT)):
            if reason is PromotionReason.DRAIN:
                preferred = await self._prepare_switchover(term, avoided)
            elif reason is PromotionReason.SPLIT:
                preferred = self._primary_name()
        promotion = Promotion(
            self._view.databases,
            term,
            self._promoter,
            preferred=preferred,
            avoided=avoided,
            excluded=excluded,
        )
        with anyio.move_on_after(_seconds(PROMOTION_LIMIT)):
            await self._fence(promotion)
            await self._promote_candidate(promotion)
        return self._finish(promotion)

    async def _obtain_term(self) -> int:
        highest = self._view.highest_term()
        term = self._record.unused_term(highest)
        if not term:
            try:
                term = await self._record.issue_next_term(highest)
            except CodedError as error:
                self._record_event("promotion_refused", cause=error)
                return 0
        self._record.mark_used(term)
        return term

    def _primary_name(self) -> str:
        primary = self._view.primary()
        return "" if primary is None else primary.status.database

    # Switchover

    async def _prepare_switchover(self, term: int, avoided: Collection[str]) -> str:
        """Fence the present primary and wait until a replica has caught up with it.

        Returns
        -------
        str
            The replica to promote, whether it has caught up in time or not; empty if
            none is suitable.
        """
        candidate = self._switchover_candidate(avoided)
        if not candidate:
            return ""
        try:
            await self._open_connections()
            primary_status = await self._control.fence(
                self._primary_name(), term, self._promoter
            )
            await self._wait_until_caught_up(candidate, primary_status)
        except CodedError as error:
            _logger.info(
                "group monitor: switchover of %s failed: %s", self._group, error
            )
        return candidate

    async def _open_connections(self) -> None:
        """Open all connections while the primary still accepts writes."""
        async with anyio.create_task_group() as tasks:
            for database in self._view.databases:
                tasks.start_soon(self._try_open_connection, database)

    async def _try_open_connection(self, database: str) -> None:
        try:
            await self._control.status(database)
        except CodedError as error:
            _logger.info("group monitor: cannot reach %s: %s", database, error)

    def _switchover_candidate(self, avoided: Collection[str]) -> str:
        primary = self._view.primary()
        if primary is None:
            return ""
        candidates = [
            sample.status
            for sample in self._view.samples()
            if sample is not primary
            and sample.status.term == primary.status.term
            and not sample.status.fenced
            and sample.status.database not in avoided
        ]
        best = max(candidates, key=lambda status: status.position, default=None)
        return "" if best is None else best.database

    async def _wait_until_caught_up(
        self, candidate: str, primary_status: DatabaseStatus
    ) -> None:
        with anyio.move_on_after(_seconds(CATCH_UP_TIMEOUT)):
            while True:
                status = await self._control.status(candidate)
                replica_end = (status.last_entry_term, status.position)
                if replica_end >= (
                    primary_status.last_entry_term,
                    primary_status.position,
                ):
                    return
                await anyio.sleep(_seconds(CATCH_UP_POLL_INTERVAL))

    # Steps

    async def _fence(self, promotion: Promotion) -> None:
        async with anyio.create_task_group() as tasks:

            async def fence_one(database: str) -> None:
                await self._fence_database(promotion, database)
                if promotion.step is not PromotionStep.FENCING:
                    tasks.cancel_scope.cancel()

            for database in promotion.databases_to_fence():
                tasks.start_soon(fence_one, database)

    async def _fence_database(self, promotion: Promotion, database: str) -> None:
        while promotion.step is PromotionStep.FENCING:
            sent_at = self._clock.now()
            try:
                status = await self._control.fence(
                    database, promotion.term, promotion.promoter
                )
            except CodedError as error:
                if is_term_refusal(error):
                    promotion.record_refusal()
                    return
                await anyio.sleep(_seconds(RETRY_DELAY))
            else:
                self._on_status(status, sent_at)
                promotion.record_fence_answer(status)
                return

    async def _promote_candidate(self, promotion: Promotion) -> None:
        while promotion.step is PromotionStep.PROMOTING:
            sent_at = self._clock.now()
            try:
                status = await self._control.promote(
                    promotion.candidate, promotion.term, promotion.promoter
                )
            except CodedError as error:
                if is_term_refusal(error):
                    promotion.record_refusal()
                    return
                await anyio.sleep(_seconds(RETRY_DELAY))
            else:
                promotion.record_promote_answer(status)
                self._on_status(status, sent_at)

    def _finish(self, promotion: Promotion) -> Promotion | None:
        if promotion.step is not PromotionStep.DONE:
            self._record_event(
                "promotion_ended", term=promotion.term, step=promotion.step.name
            )
            return None
        self._record_event(
            "promoted",
            term=promotion.term,
            database=promotion.candidate,
            start_position=promotion.start.position,
        )
        return promotion

    def _record_event(self, event: str, **detail: object) -> None:
        _logger.info("group monitor: %s of %s %s", event, self._group, detail)
        self._recorder.record("term", event, group=self._group, **detail)


def _seconds(duration: timedelta) -> float:
    return duration.total_seconds()
