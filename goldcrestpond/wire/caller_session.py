"""Reads one caller's batches and answers them in order."""

import logging
from datetime import timedelta

import anyio
from pygwire.constants import TransactionStatus

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.build import READY_IDLE, error_frame
from .answer_end import STATUS_IDLE
from .batch import Batch, read_batch
from .checkout import Checkout
from .local_answers import LocalAnswers
from .request_runner import RequestRunner
from .session_context import SessionContext

# Time after ``stop`` in which a request that was already on its way is accepted.
_LATE_REQUEST_WAIT_S = 0.02
# Time to wait for the next request, to answer it with SHUTTING_DOWN. A caller that
# pauses for longer notices the closed connection before it sends another request.
_SHUTDOWN_REFUSAL_WAIT_S = 0.5
_log = logging.getLogger("goldcrestpond.wire")


class CallerSession:
    """Session of a caller after startup and authentication.

    Parameters
    ----------
    context : SessionContext
        The caller's connection, its declarations and the services it uses.

    Attributes
    ----------
    is_stopping : bool
        Whether the session ends as soon as nothing is in flight.
    was_answer_due : bool
        Whether an endpoint may have been running a request when the session was
        ended by the shutdown.
    waiting_since : timedelta or None
        Monotonic time since which the session waits for the next request; None
        while it serves one.
    """

    __slots__ = (
        "_context",
        "_idle_scope",
        "_local_answers",
        "_runner",
        "_stream",
        "is_stopping",
        "waiting_since",
        "was_answer_due",
    )

    def __init__(self, context: SessionContext):
        self._context = context
        self._stream = context.stream
        self._local_answers = LocalAnswers(
            context.declarations, lambda: context.binding.route.group
        )
        self._runner = RequestRunner(context)
        self._idle_scope: anyio.CancelScope | None = None
        self.is_stopping = False
        self.waiting_since: timedelta | None = None
        self.was_answer_due = False

    @property
    def is_busy(self) -> bool:
        """Whether a request or a transaction is in flight."""
        if self._stream.has_frames or self._idle_scope is None:
            return True
        return self.holds_transaction

    @property
    def holds_transaction(self) -> bool:
        """Whether a connection is held for an open transaction."""
        runner = self._runner
        is_pinned_idle = runner.is_pinned and runner.status == STATUS_IDLE
        return runner.checkout is not None and not is_pinned_idle

    @property
    def is_answer_due(self) -> bool:
        """Whether an endpoint may be running a request now."""
        return self.running_checkout is not None and self._idle_scope is None

    @property
    def running_checkout(self) -> Checkout | None:
        """Connection on which a request may be running, for cancellation."""
        return self._runner.running_checkout

    def stop(self) -> None:
        """End the session as soon as nothing is in flight."""
        self.is_stopping = True
        if not self.is_busy:
            self._idle_scope.cancel()

    async def run(self) -> None:
        """Serve batches until the caller ends the session.

        Raises
        ------
        CallerGone
            If the connection to the caller is lost without a Terminate.
        CodedError
            If the session cannot continue; the error has not been sent to the
            caller yet. SHUTTING_DOWN after ``stop``.
        """
        batch_limit_bytes = self._context.limits.batch_limit_bytes
        try:
            while True:
                await self._wait_request()
                batch = await read_batch(self._stream, batch_limit_bytes)
                if batch.end == kinds.TERMINATE:
                    return
                await self._serve_batch(batch)
        finally:
            await self._runner.close_connection()

    async def _wait_request(self) -> None:
        self.waiting_since = self._context.clock.now()
        with anyio.CancelScope() as self._idle_scope:
            if self.is_stopping and not self.is_busy:
                await self._refuse_next_request()
            await self._stream.wait_frame()
        is_stopped = self._idle_scope.cancelled_caught
        if is_stopped:
            await self._await_late_request()
        self._idle_scope = None
        self.waiting_since = None

    async def _refuse_next_request(self) -> None:
        """Wait briefly for the next request, so that the shutdown is its answer.

        Drivers treat an error that arrives between two requests as a notice; the
        next request then fails without an error that says that it did not run.

        Raises
        ------
        CodedError
            Always SHUTTING_DOWN.
        """
        with anyio.move_on_after(_SHUTDOWN_REFUSAL_WAIT_S):
            await self._stream.wait_frame()
        raise CodedError(ResultCode.SHUTTING_DOWN)

    async def _await_late_request(self) -> None:
        """Wait for a request that was sent before the caller could see the stop.

        Raises
        ------
        CodedError
            SHUTTING_DOWN if none arrives.
        """
        with anyio.move_on_after(_LATE_REQUEST_WAIT_S):
            await self._stream.wait_frame()
        if not self._stream.has_frames:
            raise CodedError(ResultCode.SHUTTING_DOWN)

    async def _serve_batch(self, batch: Batch) -> None:
        started_at = self._context.clock.now()
        try:
            data = await self._answer_batch(batch)
        except CodedError as error:
            data = await self._refuse_batch(batch, error)
        await self._stream.send(data)
        self._context.metrics.record_duration(self._context.clock.now() - started_at)

    async def _answer_batch(self, batch: Batch) -> bytes:
        """Serve a batch and return the part of its answer that is not sent yet."""
        if self._local_answers.is_local(batch):
            return self._local_answers.answer(batch, self._transaction_status())
        if self._runner.checkout is None:
            if batch.frames[0].kind == kinds.SYNC:
                return READY_IDLE
            if batch.only_prepares:
                return await self._answer_preparation(batch)
        answer = await self._runner.run(batch)
        return answer.data + _ready_frame(answer.status)

    async def _answer_preparation(self, batch: Batch) -> bytes:
        """Prepare statements and return the connection without waiting for a Sync.

        The request that uses a statement may run on another connection, where the
        statement is prepared again.
        """
        answer = await self._runner.run(batch.with_sync())
        if not answer.is_error:
            return answer.data
        await self._stream.send(answer.data)
        await self._skip_to_sync()
        return READY_IDLE

    async def _refuse_batch(self, batch: Batch, error: CodedError) -> bytes:
        """Answer an error outside a transaction; raise one within a transaction."""
        if self._runner.status != STATUS_IDLE:
            raise error
        await self._runner.close_connection()
        _log.info("wire: request refused: %s", error)
        self._context.metrics.record_refusal(error.code)
        if batch.end == kinds.FLUSH:
            await self._stream.send(error_frame(error))
            await self._skip_to_sync()
            return READY_IDLE
        return error_frame(error) + READY_IDLE

    async def _skip_to_sync(self) -> None:
        while (await self._stream.next_frame()).kind != kinds.SYNC:
            pass

    def _transaction_status(self) -> TransactionStatus:
        return TransactionStatus(chr(self._runner.status))


def _ready_frame(status: int | None) -> bytes:
    if status is None:
        return b""
    return b"Z\x00\x00\x00\x05" + bytes([status])
