"""Tasks that wait for a confirmation or for a floor."""

from collections.abc import Iterable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from ..term.confirmation import Confirmation
from ..term.confirmation_outcome import ConfirmationOutcome
from ..term.confirmation_queue import ConfirmationQueue
from ..term.group_view import GroupView
from ..term.min_position_queue import MinPositionQueue
from ..term.min_position_request import MinPositionRequest


class PositionWaits:
    """Waiting tasks of one group; one change of the view settles many.

    Parameters
    ----------
    view : GroupView
        Newest statuses.
    clock : Clock
        Monotonic readings.
    """

    __slots__ = ("_clock", "_confirmations", "_events", "_floors", "_view")

    def __init__(self, view: GroupView, clock: Clock):
        self._view = view
        self._clock = clock
        self._confirmations = ConfirmationQueue()
        self._floors = MinPositionQueue()
        self._events: dict[Confirmation | MinPositionRequest, anyio.Event] = {}

    @property
    def has_floors(self) -> bool:
        """Whether sessions wait for a floor."""
        return len(self._floors) > 0

    @property
    def has_confirmations(self) -> bool:
        """Whether commits wait to be confirmed."""
        return len(self._confirmations) > 0

    def begin_confirmation(self, position: LogPosition) -> Confirmation:
        """Enqueue a commit; it may be settled at once."""
        confirmation = self._confirmations.add(position)
        self.settle()
        return confirmation

    async def end_confirmation(
        self, confirmation: Confirmation, deadline: timedelta
    ) -> None:
        """Wait until a commit is settled.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED or OUTCOME_UNKNOWN.
        """
        try:
            if confirmation.outcome is None:
                await self._wait_for(confirmation, deadline)
        finally:
            self._confirmations.abandon(confirmation)
        if confirmation.outcome is ConfirmationOutcome.SUPERSEDED:
            term = confirmation.position.term
            raise CodedError(ResultCode.TERM_SUPERSEDED, f"term {term}")
        if confirmation.outcome is not ConfirmationOutcome.CONFIRMED:
            raise CodedError(ResultCode.OUTCOME_UNKNOWN, "not confirmed in time")

    def begin_floor(self) -> MinPositionRequest:
        """Enqueue a session."""
        return self._floors.add(self._clock.now())

    async def end_floor(
        self, request: MinPositionRequest, deadline: timedelta
    ) -> LogPosition:
        """Wait until a session has its floor.

        Raises
        ------
        CodedError
            NO_PRIMARY if the deadline passes first.
        """
        try:
            await self._wait_for(request, deadline)
        finally:
            self._floors.abandon(request)
        if request.min_position is None:
            raise CodedError(ResultCode.NO_PRIMARY, "no position was sampled in time")
        return request.min_position

    def settle(self) -> None:
        """Decide what the view decides now."""
        now = self._clock.now()
        confirmed = self._view.confirmed_position(now)
        first_term = self._view.first_open_term()
        self._release(self._confirmations.settle(first_term, confirmed))
        self._release(self._floors.settle(self._view.verified_sample()))

    def _release(self, settled: Iterable[Confirmation | MinPositionRequest]) -> None:
        for request in settled:
            event = self._events.pop(request, None)
            if event is not None:
                event.set()

    async def _wait_for(
        self, request: Confirmation | MinPositionRequest, deadline: timedelta
    ) -> None:
        event = anyio.Event()
        self._events[request] = event
        rest = deadline - self._clock.now()
        try:
            with anyio.move_on_after(max(0.0, rest.total_seconds())):
                await event.wait()
        finally:
            self._events.pop(request, None)
