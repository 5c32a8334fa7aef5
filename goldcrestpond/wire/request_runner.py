"""Runs a session's requests on connections to endpoints."""

import logging
from datetime import timedelta

import anyio

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..retry.attempt_outcome import AttemptOutcome
from .answer_end import STATUS_IDLE, AnswerEnd
from .answer_exchange import AnswerExchange
from .batch import Batch
from .caller_statements import CallerStatements
from .checkout import Checkout
from .keyed_runner import KeyedRunner
from .request_answer import RequestAnswer
from .session_context import SessionContext
from .statement_kind import StatementKind

_log = logging.getLogger("goldcrestpond.wire")


class RequestRunner:
    """Runs a session's batches and holds the connection that it has checked out.

    Parameters
    ----------
    context : SessionContext
        The session.

    Attributes
    ----------
    checkout : Checkout or None
        Connection that the session has checked out.
    status : int
        Transaction status byte of the latest ReadyForQuery.
    is_pinned : bool
        Whether the session keeps the connection until it ends, because a
        statement changed the state of the endpoint's session.
    """

    __slots__ = (
        "_context",
        "_exchange",
        "_keyed",
        "_statements",
        "checkout",
        "is_pinned",
        "status",
    )

    def __init__(self, context: SessionContext):
        self._context = context
        self._statements = CallerStatements()
        self._keyed = KeyedRunner(context, self._statements)
        self._exchange: AnswerExchange | None = None
        self.checkout: Checkout | None = None
        self.status = STATUS_IDLE
        self.is_pinned = False

    @property
    def running_checkout(self) -> Checkout | None:
        """Connection on which a request may be running, for cancellation."""
        return self.checkout or self._keyed.checkout

    async def run(self, batch: Batch) -> RequestAnswer:
        """Run a batch.

        Returns
        -------
        RequestAnswer
            The end of the answer, which has not been sent to the caller yet.

        Raises
        ------
        CallerGone
            If the connection to the caller is lost.
        CodedError
            If the request was refused or failed; the code says what is known of
            the outcome.
        """
        if self.checkout is not None:
            self.checkout.resume()
            return await self._run_next(batch)
        return await self._run_first(batch)

    async def close_connection(self) -> None:
        """Close the checked-out connection, which rolls back its transaction."""
        checkout = self.checkout
        is_running = self._exchange is not None
        self.checkout = None
        self._exchange = None
        self.status = STATUS_IDLE
        if checkout is None:
            return
        if is_running and not checkout.is_cancelled:
            # Closing alone would leave the statement running in its slot at the
            # database.
            self._context.cancel_running(checkout)
        checkout.connection.is_broken = True
        await checkout.connection.aclose()
        checkout.return_connection()

    async def _run_first(self, batch: Batch) -> RequestAnswer:
        """Run a batch outside a transaction; repeat it after a failure if safe."""
        context = self._context
        await context.binding.refresh(context.request_deadline())
        kind = _classify_batch(batch)
        is_read = (
            context.declarations.read_only or kind is StatementKind.BEGIN_READ_ONLY
        )
        if kind is StatementKind.OTHER and not is_read and self._keyed.accepts(batch):
            return await self._keyed.run(batch)
        deadline = context.request_deadline()
        attempts = context.start_request(
            deadline, is_read, context.declarations.repeatable
        )
        while True:
            self.checkout = await context.acquire(is_read, deadline)
            self.is_pinned = self.is_pinned or kind is StatementKind.SET_SESSION
            try:
                return await self._run_on_checkout(batch, expects_primary=not is_read)
            except CodedError as error:
                pause = attempts.record_failure(
                    self._classify_failure(error), context.clock.now()
                )
                if pause is None or error.code is ResultCode.NOT_CARRIED:
                    raise _final_error(error) from error
                await self._prepare_retry(error, pause, deadline)

    async def _run_next(self, batch: Batch) -> RequestAnswer:
        """Run a further batch on the connection that is already checked out."""
        try:
            return await self._run_on_checkout(batch)
        except CodedError as error:
            raise _final_error(error) from error

    async def _run_on_checkout(
        self, batch: Batch, expects_primary: bool = False
    ) -> RequestAnswer:
        with anyio.move_on_after(self._context.statement_timeout_s()):
            end = await self._exchange_batch(batch, expects_primary)
            return await self._finish_answer(end)
        if self.checkout is not None:
            self.checkout.connection.is_broken = True
        raise CodedError(ResultCode.PROGRESS_DEADLINE)

    async def _exchange_batch(
        self, batch: Batch, expects_primary: bool
    ) -> AnswerEnd | None:
        read_only = None
        if self._exchange is None:
            self._exchange = AnswerExchange(
                self.checkout.connection,
                self._context.stream,
                self._statements,
                expects_primary and batch.end != kinds.FLUSH,
            )
            if self.status == STATUS_IDLE:
                read_only = self._context.declarations.read_only
        return await self._exchange.run(batch, read_only)

    async def _finish_answer(self, end: AnswerEnd | None) -> RequestAnswer:
        """Return or suspend the connection, and confirm a commit."""
        if end is None:
            return RequestAnswer(b"", None, False)
        self._exchange = None
        self.status = end.status
        checkout = self.checkout
        if end.status == STATUS_IDLE and not self.is_pinned:
            self.checkout = None
            await self._return_checkout(checkout)
        else:
            checkout.suspend()
        self._context.metrics.record_answer(checkout.is_primary)
        data = end.held
        if end.committed is not None:
            data = await self._context.confirm(end.committed) + data
        return RequestAnswer(data, end.status, end.is_error)

    async def _return_checkout(self, checkout: Checkout) -> None:
        checkout.connection.last_used = self._context.clock.now()
        if checkout.is_cancelled:
            # The cancellation may arrive late, and must not cancel the request of
            # another caller.
            checkout.connection.is_broken = True
            await checkout.connection.aclose()
        checkout.return_connection()

    def _classify_failure(self, error: CodedError) -> AttemptOutcome:
        if self._exchange is None or self.is_pinned:
            # The answer has ended and its commit could not be confirmed, or the
            # connection is pinned and no other can take its place.
            return AttemptOutcome.ANSWERED
        if self._exchange.has_relayed:
            return AttemptOutcome.ANSWERED
        if error.code is ResultCode.PRIMARY_REPLACED:
            return AttemptOutcome.NOT_RUN
        return AttemptOutcome.INTERRUPTED

    async def _prepare_retry(
        self, error: CodedError, pause: timedelta, deadline: timedelta
    ) -> None:
        _log.info("wire: repeating a request after: %s", error)
        checkout = self.checkout
        await self.close_connection()
        await anyio.sleep(pause.total_seconds())
        if error.code is ResultCode.PRIMARY_REPLACED:
            service = self._context.binding.service
            await service.report_primary_replaced(checkout.database, deadline)


def _classify_batch(batch: Batch) -> StatementKind:
    statement = batch.first_statement()
    if statement is None:
        return StatementKind.OTHER
    if statement.kind is StatementKind.NOT_CARRIED:
        raise CodedError(ResultCode.NOT_CARRIED, statement.name)
    return statement.kind


def _final_error(error: CodedError) -> CodedError:
    """Return OUTCOME_UNKNOWN for an interrupted answer, other errors unchanged."""
    if error.code is ResultCode.ANSWER_INTERRUPTED:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
    return error
