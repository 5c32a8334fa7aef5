"""Tasks that wait for the confirmation of a commit or for a sampled position."""

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
    """Waiting tasks of one group; one change of the view may wake many of them.

    Parameters
    ----------
    view : GroupView
        Newest status of each database.
    clock : Clock
        Source of monotonic time.
    """

    __slots__ = ("_clock", "_confirmations", "_events", "_position_requests", "_view")

    def __init__(self, view: GroupView, clock: Clock):
        self._view = view
        self._clock = clock
        self._confirmations = ConfirmationQueue()
        self._position_requests = MinPositionQueue()
        self._events: dict[Confirmation | MinPositionRequest, anyio.Event] = {}

    @property
    def has_position_requests(self) -> bool:
        """Whether sessions wait for a position of the primary."""
        return len(self._position_requests) > 0

    @property
    def has_confirmations(self) -> bool:
        """Whether commits wait to be confirmed."""
        return len(self._confirmations) > 0

    def enqueue_confirmation(self, position: LogPosition) -> Confirmation:
        """Enqueue a commit; its outcome may already be known on return."""
        confirmation = self._confirmations.add(position)
        self.resolve_requests()
        return confirmation

    async def wait_for_confirmation(
        self, confirmation: Confirmation, deadline: timedelta
    ) -> None:
        """Wait until a commit is confirmed.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED if it can no longer be confirmed, OUTCOME_UNKNOWN at the
            deadline.
        """
        try:
            if confirmation.outcome is None:
                await self._wait_for(confirmation, deadline)
        finally:
            self._confirmations.abandon(confirmation)
        if confirmation.outcome is ConfirmationOutcome.SUPERSEDED:
            term = confirmation.position.term
            raise CodedError(
                ResultCode.TERM_SUPERSEDED,
                f"term {term} ended before the commit was confirmed",
            )
        if confirmation.outcome is not ConfirmationOutcome.CONFIRMED:
            raise CodedError(ResultCode.OUTCOME_UNKNOWN, "not confirmed in time")

    def enqueue_position_request(self) -> MinPositionRequest:
        """Enqueue a session that needs a position sampled from now on."""
        return self._position_requests.add(self._clock.now())

    async def wait_for_position(
        self, request: MinPositionRequest, deadline: timedelta
    ) -> LogPosition:
        """Wait until the position is sampled, and return it.

        Raises
        ------
        CodedError
            NO_PRIMARY if the deadline passes first.
        """
        try:
            await self._wait_for(request, deadline)
        finally:
            self._position_requests.abandon(request)
        if request.min_position is None:
            raise CodedError(ResultCode.NO_PRIMARY, "no position was sampled in time")
        return request.min_position

    def resolve_requests(self) -> None:
        """Resolve the requests that the current view answers, and wake their tasks."""
        now = self._clock.now()
        confirmed = self._view.confirmed_position(now)
        first_term = self._view.first_open_term()
        self._wake_tasks(self._confirmations.settle(first_term, confirmed))
        self._wake_tasks(self._position_requests.settle(self._view.verified_sample()))

    def _wake_tasks(
        self, resolved: Iterable[Confirmation | MinPositionRequest]
    ) -> None:
        for request in resolved:
            event = self._events.pop(request, None)
            if event is not None:
                event.set()

    async def _wait_for(
        self, request: Confirmation | MinPositionRequest, deadline: timedelta
    ) -> None:
        event = anyio.Event()
        self._events[request] = event
        remaining = deadline - self._clock.now()
        try:
            with anyio.move_on_after(max(0.0, remaining.total_seconds())):
                await event.wait()
        finally:
            self._events.pop(request, None)
