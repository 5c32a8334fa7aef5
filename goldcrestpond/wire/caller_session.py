"""Serves one caller: batches in, whole answers out."""

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

# A caller's request may be on its way while its session is told to stop.
_CROSSING_S = 0.02
# A caller that pauses for longer between two requests reads the end as an end.
_LAST_WORDS_S = 0.5
_log = logging.getLogger("goldcrestpond.wire")


class CallerSession:
    """A caller after its startup.

    Parameters
    ----------
    context : SessionContext
        The caller, its declarations and what serves it.

    Attributes
    ----------
    is_stopping : bool
        Whether it ends as soon as nothing is in flight.
    was_answer_due : bool
        Whether an endpoint may have run something when it was cut.
    waiting_since : timedelta or None
        Monotonic reading since which it waits for its caller; None while it
        serves a request.
    """

    __slots__ = (
        "_context",
        "_idle_scope",
        "_local",
        "_runner",
        "_stream",
        "is_stopping",
        "waiting_since",
        "was_answer_due",
    )

    def __init__(self, context: SessionContext):
        self._context = context
        self._stream = context.stream
        self._local = LocalAnswers(
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
        """Whether a connection is held for a transaction that has begun."""
        runner = self._runner
        is_pinned_idle = runner.is_pinned and runner.status == STATUS_IDLE
        return runner.checkout is not None and not is_pinned_idle

    @property
    def is_answer_due(self) -> bool:
        """Whether an endpoint may run something at this moment."""
        return self.running is not None and self._idle_scope is None

    @property
    def running(self) -> Checkout | None:
        """Connection that runs the present request, for cancellation."""
        return self._runner.running

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
            If the caller leaves without saying so.
        CodedError
            If the session cannot go on; the caller has not been told yet.
            SHUTTING_DOWN after ``stop``.
        """
        batch_limit_bytes = self._context.limits.batch_limit_bytes
        try:
            while True:
                await self._wait_request()
                batch = await read_batch(self._stream, batch_limit_bytes)
                if batch.end == kinds.TERMINATE:
                    return
                await self._serve(batch)
        finally:
            await self._runner.drop()

    async def _wait_request(self) -> None:
        self.waiting_since = self._context.clock.now()
        with anyio.CancelScope() as self._idle_scope:
            if self.is_stopping and not self.is_busy:
                await self._refuse_next_request()
            await self._stream.wait_frame()
        is_stopped = self._idle_scope.cancelled_caught
        if is_stopped:
            await self._take_crossing_request()
        self._idle_scope = None
        self.waiting_since = None

    async def _refuse_next_request(self) -> None:
        """Make the shutdown the answer to the next request, if one comes soon.

        Drivers take an error that follows an answer without a request of
        theirs as a notice, and then cannot tell that the next one did not run.

        Raises
        ------
        CodedError
            SHUTTING_DOWN in any case.
        """
        with anyio.move_on_after(_LAST_WORDS_S):
            await self._stream.wait_frame()
        raise CodedError(ResultCode.SHUTTING_DOWN)

    async def _take_crossing_request(self) -> None:
        """Take a request that arrives as the session is stopped, if one does."""
        with anyio.move_on_after(_CROSSING_S):
            await self._stream.wait_frame()
        if not self._stream.has_frames:
            raise CodedError(ResultCode.SHUTTING_DOWN)

    async def _serve(self, batch: Batch) -> None:
        started = self._context.clock.now()
        try:
            data = await self._answer(batch)
        except CodedError as error:
            data = await self._refuse(batch, error)
        await self._stream.send(data)
        self._context.metrics.request_done(self._context.clock.now() - started)

    async def _answer(self, batch: Batch) -> bytes:
        """Serve a batch and return what is left to send of its answer."""
        if self._local.is_local(batch):
            return self._local.answer(batch, self._transaction_status())
        if self._runner.checkout is None:
            if batch.frames[0].kind == kinds.SYNC:
                return READY_IDLE
            if batch.only_prepares:
                return await self._answer_preparation(batch)
        answer = await self._runner.run(batch)
        return answer.data + _ready(answer.status)

    async def _answer_preparation(self, batch: Batch) -> bytes:
        """Prepare statements without keeping the connection until a Sync.

        They are prepared again where they are used, so that the request that
        uses them is free to run elsewhere.
        """
        answer = await self._runner.run(batch.with_sync())
        if not answer.is_error:
            return answer.data
        await self._stream.send(answer.data)
        await self._skip_to_sync()
        return READY_IDLE

    async def _refuse(self, batch: Batch, error: CodedError) -> bytes:
        """Return the answer of an error outside a transaction, or raise it."""
        if self._runner.status != STATUS_IDLE:
            raise error
        await self._runner.drop()
        _log.info("wire: request refused: %s", error)
        self._context.metrics.request_refused(error.code)
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


def _ready(status: int | None) -> bytes:
    if status is None:
        return b""
    return b"Z\x00\x00\x00\x05" + bytes([status])
