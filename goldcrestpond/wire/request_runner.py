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
    """The connection on loan to a session, and what it runs.

    Parameters
    ----------
    context : SessionContext
        The session.

    Attributes
    ----------
    checkout : Checkout or None
        Connection that the session holds.
    status : int
        Transaction status byte.
    is_pinned : bool
        Whether the connection stays with the session until its end, because a
        statement changed the state of its endpoint session.
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
    def running(self) -> Checkout | None:
        """Connection that runs a request now."""
        return self.checkout or self._keyed.checkout

    async def run(self, batch: Batch) -> RequestAnswer:
        """Run a batch.

        Returns
        -------
        RequestAnswer
            The end of the answer, which the caller has not been sent yet.

        Raises
        ------
        CallerGone
            If the caller left.
        CodedError
            If the request was refused or failed; the code tells the outcome.
        """
        if self.checkout is not None:
            self.checkout.resume()
            return await self._run_last(batch)
        return await self._run_first(batch)

    async def drop(self) -> None:
        """Close the connection on loan: its transaction is rolled back."""
        checkout = self.checkout
        is_running = self._exchange is not None
        self.checkout = None
        self._exchange = None
        self.status = STATUS_IDLE
        if checkout is None:
            return
        if is_running and not checkout.is_cancelled:
            # Closing alone would leave the statement running in its slot.
            self._context.cancel_running(checkout)
        checkout.connection.is_broken = True
        await checkout.connection.aclose()
        checkout.give_back()

    async def _run_first(self, batch: Batch) -> RequestAnswer:
        """Run a batch that no transaction precedes, again if that is safe."""
        context = self._context
        await context.binding.refresh(context.request_deadline())
        kind = _carried_kind(batch)
        is_read = (
            context.declarations.read_only or kind is StatementKind.BEGIN_READ_ONLY
        )
        if kind is StatementKind.WORK and not is_read and self._keyed.takes(batch):
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
                    self._evidence(error), context.clock.now()
                )
                if pause is None or error.code is ResultCode.NOT_CARRIED:
                    raise _explain(error) from error
                await self._prepare_repetition(error, pause, deadline)

    async def _run_last(self, batch: Batch) -> RequestAnswer:
        """Run a further batch on the connection that the session holds."""
        try:
            return await self._run_on_checkout(batch)
        except CodedError as error:
            raise _explain(error) from error

    async def _run_on_checkout(
        self, batch: Batch, expects_primary: bool = False
    ) -> RequestAnswer:
        with anyio.move_on_after(self._context.statement_timeout_s()):
            end = await self._exchange_batch(batch, expects_primary)
            return await self._finish(end)
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

    async def _finish(self, end: AnswerEnd | None) -> RequestAnswer:
        """Give the connection back and confirm what was committed."""
        if end is None:
            return RequestAnswer(b"", None, False)
        self._exchange = None
        self.status = end.status
        checkout = self.checkout
        if end.status == STATUS_IDLE and not self.is_pinned:
            self.checkout = None
            await self._give_back(checkout)
        else:
            checkout.suspend()
        self._context.metrics.answered(checkout.is_primary)
        data = end.held
        if end.committed is not None:
            data = await self._context.confirm(end.committed) + data
        return RequestAnswer(data, end.status, end.is_error)

    async def _give_back(self, checkout: Checkout) -> None:
        checkout.connection.last_used = self._context.clock.now()
        if checkout.is_cancelled:
            # The cancellation may still be on its way; it must not meet the
            # request of another caller.
            checkout.connection.is_broken = True
            await checkout.connection.aclose()
        checkout.give_back()

    def _evidence(self, error: CodedError) -> AttemptOutcome:
        if self._exchange is None or self.is_pinned:
            return (
                AttemptOutcome.ANSWERED
            )  # the answer had come; its commit is in doubt
        if self._exchange.has_relayed:
            return AttemptOutcome.ANSWERED
        if error.code is ResultCode.PRIMARY_REPLACED:
            return AttemptOutcome.NOT_RUN
        return AttemptOutcome.INTERRUPTED

    async def _prepare_repetition(
        self, error: CodedError, pause: timedelta, deadline: timedelta
    ) -> None:
        _log.info("wire: request repeated: %s", error)
        checkout = self.checkout
        await self.drop()
        await anyio.sleep(pause.total_seconds())
        if error.code is ResultCode.PRIMARY_REPLACED:
            service = self._context.binding.service
            await service.report_replaced(checkout.database, deadline)


def _carried_kind(batch: Batch) -> StatementKind:
    statement = batch.first_statement()
    if statement is None:
        return StatementKind.WORK
    if statement.kind is StatementKind.NOT_CARRIED:
        raise CodedError(ResultCode.NOT_CARRIED, statement.name)
    return statement.kind


def _explain(error: CodedError) -> CodedError:
    """Name the outcome of a request whose answer broke off."""
    if error.code is ResultCode.ANSWER_INTERRUPTED:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
    return error
