"""Repeats requests with an id until their outcome is known."""

import logging
from datetime import timedelta

import anyio

from ..endpoint.endpoint_refusal import EndpointRefusal
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..retry.attempt_outcome import AttemptOutcome
from .answer_end import STATUS_IDLE
from .batch import Batch
from .caller_statements import CallerStatements
from .checkout import Checkout
from .keyed_request import KeyedRequest
from .request_answer import RequestAnswer
from .session_context import SessionContext

# A concurrent attempt or transaction committed first; the next attempt sees its effect.
_CONFLICT_SQLSTATES = frozenset(("23505", "40001", "40P01"))
# Result codes from 300 to 399: the outcome of the attempt is unknown or it was rolled
# back. A request of which no attempt can have committed is reported as rolled back.
_UNKNOWN_OUTCOME_HUNDREDS = 3
_log = logging.getLogger("goldcrestpond.wire")


class KeyedRunner:
    """Runs a session's requests with an id, and repeats them after failures.

    Parameters
    ----------
    context : SessionContext
        The session.
    statements : CallerStatements
        The caller's prepared statements.

    Attributes
    ----------
    checkout : Checkout or None
        Connection that runs the current attempt; None between attempts.
    """

    __slots__ = ("_context", "_database", "_statements", "checkout")

    def __init__(self, context: SessionContext, statements: CallerStatements):
        self._context = context
        self._statements = statements
        self._database = ""  # where the latest attempt ran
        self.checkout: Checkout | None = None

    def accepts(self, batch: Batch) -> bool:
        """Return whether a batch is to be run and stored under a request id.

        The caller must have declared an id, the route must have a request table,
        and the batch must run a statement and not end in a Flush.
        """
        has_id = bool(self._context.declarations.request_id)
        has_table = bool(self._context.binding.route.request_table)
        is_whole = batch.runs_statement and batch.end != kinds.FLUSH
        return has_id and has_table and is_whole

    async def run(self, batch: Batch) -> RequestAnswer:
        """Run a batch, in several attempts if necessary, until its outcome is known.

        Raises
        ------
        CodedError
            If the request was refused or its time ran out; the code says what is
            known of the outcome.
        """
        context = self._context
        request_id = context.declarations.request_id
        context.declarations.request_id = ""  # an id is for one request only
        deadline = context.request_deadline()
        attempts = context.start_request(deadline, False, True)
        may_have_committed = False
        while True:
            request = KeyedRequest(
                context.binding.route.request_table,
                request_id,
                batch.frames,
                self._statements,
            )
            try:
                return await self._run_once(request, deadline)
            except CodedError as error:
                may_have_committed = may_have_committed or request.may_have_committed
                pause = attempts.record_failure(
                    _classify_failure(error), context.clock.now()
                )
                if pause is None or not _is_transient(error):
                    raise _final_error(error, may_have_committed) from error
                _log.info("wire: repeating a request with an id after: %s", error)
                await anyio.sleep(pause.total_seconds())
                if error.code is ResultCode.PRIMARY_REPLACED:
                    service = context.binding.service
                    await service.report_primary_replaced(self._database, deadline)

    async def _run_once(
        self, request: KeyedRequest, deadline: timedelta
    ) -> RequestAnswer:
        checkout = await self._context.acquire(False, deadline)
        self.checkout = checkout
        self._database = checkout.database
        is_done = False
        try:
            with anyio.move_on_after(self._context.statement_timeout_s()):
                answer = await request.run(checkout.connection)
                is_done = True
        finally:
            self.checkout = None
            await self._return_checkout(checkout, is_done)
        if not is_done:
            raise CodedError(ResultCode.PROGRESS_DEADLINE)
        token = b""
        if answer.committed is not None:
            token = await self._context.confirm(answer.committed)
        return RequestAnswer(token + answer.data, STATUS_IDLE, False)

    async def _return_checkout(self, checkout: Checkout, is_done: bool) -> None:
        if not is_done or checkout.is_cancelled:
            checkout.connection.is_broken = True
            await checkout.connection.aclose()
        checkout.return_connection()


def _classify_failure(error: CodedError) -> AttemptOutcome:
    if error.code is ResultCode.PRIMARY_REPLACED:
        return AttemptOutcome.NOT_RUN
    return AttemptOutcome.INTERRUPTED


def _is_transient(error: CodedError) -> bool:
    if isinstance(error, EndpointRefusal):
        return error.sqlstate in _CONFLICT_SQLSTATES
    return error.code is not ResultCode.NOT_CARRIED


def _final_error(error: CodedError, may_have_committed: bool) -> CodedError:
    """Return the error that states the outcome of a request after its last attempt."""
    if may_have_committed:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
    if error.code.number // 100 == _UNKNOWN_OUTCOME_HUNDREDS:
        return CodedError(ResultCode.ROLLED_BACK, error.detail)
    return error
