"""Carries out promotions of one group."""

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

RETRY_DELAY = timedelta(milliseconds=30)  # a database that restarts is met soon
CATCH_UP_LIMIT = timedelta(milliseconds=400)  # of a switch, while nobody writes
CATCH_UP_DELAY = timedelta(milliseconds=2)

_logger = logging.getLogger(__name__)


class Promoter:
    """Runs one promotion at a time.

    Parameters
    ----------
    group : str
        Name of the group.
    promoter : str
        Identity of this promoter.
    view : GroupView
        Newest statuses.
    control : GroupControl
        Reaches the databases.
    record : GroupRecord
        The group's row in the platform's table.
    clock : Clock
        Monotonic readings.
    recorder : EventRecorder
        Takes the events of the time line.
    on_status : callable
        Receives each status that a step brought.
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
        """Give the group a primary of a new term.

        Returns
        -------
        Promotion or None
            The finished promotion; None if it did not come about.
        """
        term = 0
        with anyio.move_on_after(_seconds(PROMOTION_LIMIT)):
            term = await self._obtain_term()
        if not term:
            return None
        self._note("promotion_started", term=term, reason=reason.value)
        preferred = ""
        excluded = ""
        if reason is PromotionReason.STALLED:
            excluded = self._primary_name()
        with anyio.move_on_after(_seconds(PROMOTION_LIMIT)):
            if reason is PromotionReason.DRAIN:
                preferred = await self._prepare_switch(term, avoided)
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
        return self._conclude(promotion)

    async def _obtain_term(self) -> int:
        highest = self._view.highest_term()
        term = self._record.held_term(highest)
        if not term:
            try:
                term = await self._record.issue(highest)
            except CodedError as error:
                self._note("promotion_refused", cause=error)
                return 0
        self._record.use(term)
        return term

    def _primary_name(self) -> str:
        primary = self._view.primary()
        return "" if primary is None else primary.status.database

    # Planned switch

    async def _prepare_switch(self, term: int, avoided: Collection[str]) -> str:
        """Stop the writes of the present primary and let a replica catch up.

        Returns
        -------
        str
            The replica that holds everything; empty if none does.
        """
        candidate = self._switch_candidate(avoided)
        if not candidate:
            return ""
        try:
            await self._open_connections()
            last = await self._control.fence(self._primary_name(), term, self._promoter)
            await self._wait_until_caught_up(candidate, last)
        except CodedError as error:
            _logger.info("group monitor: switch of %s: %s", self._group, error)
        return candidate

    async def _open_connections(self) -> None:
        """Open all connections while the primary still takes writes."""
        async with anyio.create_task_group() as tasks:
            for database in self._view.databases:
                tasks.start_soon(self._open_one, database)

    async def _open_one(self, database: str) -> None:
        try:
            await self._control.status(database)
        except CodedError as error:
            _logger.info("group monitor: %s is not reached: %s", database, error)

    def _switch_candidate(self, avoided: Collection[str]) -> str:
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

    async def _wait_until_caught_up(self, candidate: str, last: DatabaseStatus) -> None:
        with anyio.move_on_after(_seconds(CATCH_UP_LIMIT)):
            while True:
                status = await self._control.status(candidate)
                held = (status.last_entry_term, status.position)
                if held >= (last.last_entry_term, last.position):
                    return
                await anyio.sleep(_seconds(CATCH_UP_DELAY))

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

    def _conclude(self, promotion: Promotion) -> Promotion | None:
        if promotion.step is not PromotionStep.DONE:
            self._note("promotion_ended", term=promotion.term, step=promotion.step.name)
            return None
        self._note(
            "promoted",
            term=promotion.term,
            database=promotion.candidate,
            start_position=promotion.start.position,
        )
        return promotion

    def _note(self, event: str, **detail: object) -> None:
        _logger.info("group monitor: %s of %s %s", event, self._group, detail)
        self._recorder.record("term", event, group=self._group, **detail)


def _seconds(duration: timedelta) -> float:
    return duration.total_seconds()
