"""Serves one caller: batches in, whole answers out."""

import logging
from collections.abc import Callable
from datetime import timedelta

import anyio
from pygwire.constants import TransactionStatus

from ..clock.clock import Clock
from ..endpoint.endpoint_refusal import EndpointRefusal
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.build import READY_IDLE, error_frame, parameter_frame, query_frame
from ..group.log_position import LogPosition
from ..retry.evidence import Evidence
from ..retry.request_attempts import RequestAttempts
from .answer_end import STATUS_IDLE, AnswerEnd
from .answer_relay import AnswerRelay
from .answer_script import AnswerScript
from .batch import Batch, read_batch
from .caller_statements import CallerStatements
from .caller_stream import CallerStream
from .checkout import Checkout
from .declarations import PREFIX, Declarations, write_token
from .keyed_request import KeyedRequest
from .local_answers import LocalAnswers
from .route_binding import RouteBinding
from .session_limits import SessionLimits
from .session_metrics import SessionMetrics
from .session_startup import Identity
from .statement_kind import StatementKind

StartAttempts = Callable[[str, timedelta, bool, bool], RequestAttempts]
TOKEN_PARAMETER = PREFIX + "token"
_CONCURRENT_SEND_BYTES = 32768  # above this an endpoint may answer before it has read
# A caller's request may be on its way while its session is told to stop.
_CROSSING_S = 0.02
# A caller that pauses for longer between two requests reads the end as an end.
_LAST_WORDS_S = 0.5
_NO_COMPLETIONS = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH))
# Another attempt, or another transaction, was first; the next try sees it.
_CONFLICT_SQLSTATES = frozenset(("23505", "40001", "40P01"))
_OUTCOME_HUNDREDS = 3  # result codes that leave open whether a request ran
_log = logging.getLogger("goldcrestpond.wire")


class CallerSession:
    """A caller after its startup.

    Parameters
    ----------
    stream : CallerStream
        The caller's connection.
    identity : Identity
        Who it is and its route.
    declarations : Declarations
        What it has declared.
    binding : RouteBinding
        Its route and the group that serves it.
    limits : SessionLimits
        Bounds.
    clock : Clock
        Source of monotonic readings.
    metrics : SessionMetrics
        Counters and timers.
    start_attempts : callable
        Returns the ``RequestAttempts`` of a request, given its route's name,
        its deadline and whether it is read-only and repeatable.
    """

    __slots__ = (
        "_binding",
        "_checkout",
        "_clock",
        "_declarations",
        "_hides_ready",
        "_identity",
        "_idle_scope",
        "_is_pinned",
        "_limits",
        "_local",
        "_metrics",
        "_relay",
        "_script",
        "_sent_completions",
        "_start_attempts",
        "_statements",
        "_status",
        "_stream",
        "is_stopping",
        "was_answer_due",
    )

    def __init__(
        self,
        stream: CallerStream,
        identity: Identity,
        declarations: Declarations,
        binding: RouteBinding,
        limits: SessionLimits,
        clock: Clock,
        metrics: SessionMetrics,
        start_attempts: StartAttempts,
    ):
        self._start_attempts = start_attempts
        self._stream = stream
        self._identity = identity
        self._declarations = declarations
        self._binding = binding
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._local = LocalAnswers(declarations, lambda: binding.route.group)
        self._statements = CallerStatements()
        self._checkout: Checkout | None = None
        self._relay: AnswerRelay | None = None
        self._script = AnswerScript()
        self._sent_completions = 0
        self._status = STATUS_IDLE
        self._is_pinned = False
        self._hides_ready = False
        self._idle_scope: anyio.CancelScope | None = None
        self.is_stopping = False
        self.was_answer_due = False

    @property
    def is_busy(self) -> bool:
        """Whether a request or a transaction is in flight."""
        if self._stream.has_frames or self._idle_scope is None:
            return True
        is_pinned_idle = self._is_pinned and self._status == STATUS_IDLE
        return self._checkout is not None and not is_pinned_idle

    @property
    def is_answer_due(self) -> bool:
        """Whether an endpoint may run something at this moment."""
        return self._checkout is not None and self._idle_scope is None

    def stop(self) -> None:
        """End the session as soon as nothing is in flight."""
        self.is_stopping = True
        if not self.is_busy:
            self._idle_scope.cancel()

    @property
    def running(self) -> Checkout | None:
        """Connection that runs the present request, for cancellation."""
        return self._checkout

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
        try:
            while True:
                await self._wait_request()
                batch = await read_batch(self._stream, self._limits.batch_limit_bytes)
                if batch.end == kinds.TERMINATE:
                    return
                await self._serve(batch)
        finally:
            await self._drop_checkout()

    async def _wait_request(self) -> None:
        with anyio.CancelScope() as self._idle_scope:
            if self.is_stopping and not self.is_busy:
                await self._refuse_next_request()
            await self._stream.wait_frame()
        is_stopped = self._idle_scope.cancelled_caught
        if is_stopped:
            await self._take_crossing_request()
        self._idle_scope = None

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
        started = self._clock.now()
        try:
            await self._dispatch(batch)
        except CodedError as error:
            await self._refuse(batch, error)
        self._metrics.request_done(self._clock.now() - started)

    async def _dispatch(self, batch: Batch) -> None:
        if self._local.is_local(batch):
            await self._stream.send(self._local.answer(batch, self._transaction()))
        elif self._checkout is not None:
            await self._run_next(batch)
        elif batch.frames[0].kind == kinds.SYNC:
            await self._stream.send(READY_IDLE)
        elif batch.only_prepares:
            await self._run_preparation(batch)
        else:
            await self._run_first(batch)

    async def _refuse(self, batch: Batch, error: CodedError) -> None:
        """Tell the caller of an error outside a transaction, or end the session."""
        if self._status != STATUS_IDLE:
            raise error
        await self._drop_checkout()
        _log.info("wire: request refused: %s", error)
        self._metrics.request_refused(error.code)
        data = error_frame(error)
        if batch.end == kinds.FLUSH:
            await self._stream.send(data)
            await self._skip_to_sync()
            data = b""
        await self._stream.send(data + READY_IDLE)

    async def _skip_to_sync(self) -> None:
        while (await self._stream.next_frame()).kind != kinds.SYNC:
            pass

    def _transaction(self) -> TransactionStatus:
        return TransactionStatus(chr(self._status))

    async def _run_next(self, batch: Batch) -> None:
        """Run a batch on the connection that the session holds already."""
        self._checkout.resume()
        try:
            await self._run_on_checkout(batch)
        except CodedError as error:
            raise self._explain(error) from error

    async def _run_preparation(self, batch: Batch) -> None:
        """Prepare statements without keeping the connection until a Sync.

        They are prepared again where they are used, so that the request that
        uses them is free to run elsewhere.
        """
        self._hides_ready = True
        try:
            await self._run_first(batch.with_sync())
        finally:
            self._hides_ready = False

    async def _run_first(self, batch: Batch) -> None:
        """Run a batch that no transaction precedes, again if that is safe."""
        await self._binding.refresh(self._request_deadline())
        statement = batch.first_statement()
        kind = statement.kind if statement else StatementKind.WORK
        if kind is StatementKind.NOT_CARRIED:
            raise CodedError(ResultCode.NOT_CARRIED, statement.name)
        is_read = self._declarations.read_only or kind is StatementKind.BEGIN_READ_ONLY
        if self._is_keyed(batch, kind, is_read):
            await self._run_keyed(batch)
            return
        deadline = self._request_deadline()
        attempts = self._start_attempts(
            self._identity.database, deadline, is_read, self._declarations.repeatable
        )
        while True:
            self._checkout = await self._acquire(is_read, deadline)
            self._is_pinned = self._is_pinned or kind is StatementKind.SET_SESSION
            try:
                await self._run_on_checkout(batch, expects_primary=not is_read)
                return
            except CodedError as error:
                pause = attempts.failed(self._evidence(error), self._clock.now())
                if pause is None or error.code is ResultCode.NOT_CARRIED:
                    raise self._explain(error) from error
                await self._prepare_repetition(error, pause, deadline)

    def _request_deadline(self) -> timedelta:
        return self._clock.now() + timedelta(
            milliseconds=self._binding.route.queue_timeout_ms
        )

    def _evidence(self, error: CodedError) -> Evidence:
        if self._relay is not None and self._relay.relayed_bytes:
            return Evidence.ANSWERED
        if self._checkout is None or self._is_pinned:
            return Evidence.ANSWERED  # the answer had come; its commit is in doubt
        if error.code is ResultCode.PRIMARY_REPLACED:
            return Evidence.NOT_RUN
        return Evidence.INTERRUPTED

    async def _prepare_repetition(
        self, error: CodedError, pause: timedelta, deadline: timedelta
    ) -> None:
        _log.info("wire: request repeated: %s", error)
        checkout = self._checkout
        await self._drop_checkout()
        await anyio.sleep(pause.total_seconds())
        if checkout is not None and error.code is ResultCode.PRIMARY_REPLACED:
            await self._binding.service.report_replaced(checkout.database, deadline)

    def _is_keyed(self, batch: Batch, kind: StatementKind, is_read: bool) -> bool:
        if not self._declarations.request_id or not self._binding.route.request_table:
            return False
        if is_read or kind is not StatementKind.WORK:
            return False
        return batch.runs_statement and batch.end != kinds.FLUSH

    async def _run_keyed(self, batch: Batch) -> None:
        """Run a request with an id until its outcome is known or time is up."""
        request_id = self._declarations.request_id
        self._declarations.request_id = ""  # it named this request alone
        deadline = self._request_deadline()
        attempts = self._start_attempts(self._identity.database, deadline, False, True)
        may_have_committed = False
        while True:
            request = KeyedRequest(
                self._binding.route.request_table,
                request_id,
                batch.frames,
                self._statements,
            )
            try:
                await self._run_keyed_once(request, deadline)
                return
            except CodedError as error:
                may_have_committed = may_have_committed or request.may_have_committed
                is_replaced = error.code is ResultCode.PRIMARY_REPLACED
                evidence = Evidence.NOT_RUN if is_replaced else Evidence.INTERRUPTED
                pause = attempts.failed(evidence, self._clock.now())
                if pause is None or not _is_transient(error):
                    raise _keyed_failure(error, may_have_committed) from error
                await self._prepare_repetition(error, pause, deadline)

    async def _run_keyed_once(self, request: KeyedRequest, deadline: timedelta) -> None:
        self._checkout = await self._acquire(False, deadline)
        checkout = self._checkout
        timeout = self._binding.route.statement_timeout_ms / 1000
        with anyio.move_on_after(timeout) as scope:
            answer = await request.run(checkout.connection)
        if scope.cancelled_caught:
            checkout.connection.is_broken = True
            raise CodedError(ResultCode.PROGRESS_DEADLINE)
        self._checkout = None
        checkout.give_back()
        token = b""
        if answer.committed is not None:
            token = await self._confirm(answer.committed)
        await self._stream.send(token + answer.data + READY_IDLE)

    def _explain(self, error: CodedError) -> CodedError:
        """Name the outcome of a request whose answer broke off."""
        if error.code is ResultCode.ANSWER_INTERRUPTED:
            return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
        return error

    async def _acquire(self, is_read: bool, deadline: timedelta) -> Checkout:
        is_aged = is_read and self._declarations.max_age is not None
        if not is_aged:
            await self._binding.service.ensure_floor(self._declarations, deadline)
        if is_read:
            return await self._binding.service.acquire_reader(
                self._declarations, self._identity.fairness_key, deadline
            )
        return await self._binding.service.acquire_primary(
            self._declarations, self._identity.fairness_key, deadline
        )

    async def _run_on_checkout(
        self, batch: Batch, expects_primary: bool = False
    ) -> None:
        timeout = self._binding.route.statement_timeout_ms / 1000
        with anyio.move_on_after(timeout):
            await self._run_batch(batch, expects_primary)
            return
        self._checkout.connection.is_broken = True
        raise CodedError(ResultCode.PROGRESS_DEADLINE)

    async def _run_batch(self, batch: Batch, expects_primary: bool) -> None:
        connection = self._checkout.connection
        relay = self._relay
        if relay is None:
            self._script = AnswerScript()
            self._sent_completions = 0
            relay = AnswerRelay(
                connection,
                self._stream,
                self._script,
                expects_primary and batch.end != kinds.FLUSH,
            )
            self._relay = relay
        data = self._statements.rewrite(batch.frames, connection, self._script)
        data = self._with_settings(data)
        self._sent_completions += sum(
            frame.kind not in _NO_COMPLETIONS for frame in batch.frames
        )
        if len(data) > _CONCURRENT_SEND_BYTES:
            await self._send_while_relaying(data, batch, relay)
            return
        await connection.send(data)
        await self._relay_answer(batch, relay)

    async def _send_while_relaying(
        self, data: bytes, batch: Batch, relay: AnswerRelay
    ) -> None:
        """Send a large batch while its first answers are relayed already."""
        failure: list[CodedError] = []

        async def send() -> None:
            try:
                await self._checkout.connection.send(data)
            except CodedError as error:
                failure.append(error)  # the relay meets the same broken connection

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            try:
                await self._relay_answer(batch, relay)
            except CodedError as error:
                failure.insert(0, error)
                tasks.cancel_scope.cancel()
        if failure:
            raise failure[0]

    async def _relay_answer(self, batch: Batch, relay: AnswerRelay) -> None:
        connection = self._checkout.connection
        connection.is_broken = True  # until the whole answer has been read
        if batch.end == kinds.FLUSH:
            await relay.relay_completions(self._sent_completions)
            return
        end = await relay.relay_to_end()
        connection.is_broken = False
        self._relay = None
        await self._finish(end)

    def _with_settings(self, data: bytes) -> bytes:
        """Put the connection's read-only switch before the batch if it differs."""
        connection = self._checkout.connection
        wanted = self._declarations.read_only
        if connection.read_only == wanted or self._status != STATUS_IDLE:
            return data
        connection.read_only = wanted
        self._script.skipped_answers += 1
        switch = "on" if wanted else "off"
        return query_frame(f"SET default_transaction_read_only = {switch}") + data

    async def _finish(self, end: AnswerEnd) -> None:
        """Give the connection back and send the end of the answer."""
        self._status = end.status
        checkout = self._checkout
        if end.status == STATUS_IDLE and not self._is_pinned:
            self._checkout = None
            checkout.connection.last_used = self._clock.now()
            if checkout.is_cancelled:
                # The cancellation may still be on its way; it must not meet
                # the request of another caller.
                checkout.connection.is_broken = True
                await checkout.connection.aclose()
            checkout.give_back()
        else:
            checkout.hold()
        self._metrics.answered(checkout.is_primary)
        held = end.held
        if end.committed is not None:
            held = await self._confirm(end.committed) + held
        if not self._hides_ready:
            await self._stream.send(held + _READY[end.status])
            return
        await self._stream.send(held)
        if end.is_error:
            await self._skip_to_sync()
            await self._stream.send(READY_IDLE)

    async def _confirm(self, committed: LogPosition) -> bytes:
        """Wait until the commit cannot be lost; return the new token's frame.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED or OUTCOME_UNKNOWN.
        """
        deadline = self._clock.now() + self._limits.acknowledge_timeout
        await self._binding.service.monitor.confirm(committed, deadline)
        self._declarations.raise_floor(committed)
        token = write_token(self._binding.service.name, self._declarations.floor)
        return parameter_frame(TOKEN_PARAMETER, token)

    async def _drop_checkout(self) -> None:
        """Close the connection on loan: its transaction is rolled back."""
        checkout = self._checkout
        self._checkout = None
        self._relay = None
        self._status = STATUS_IDLE
        if checkout is None:
            return
        checkout.connection.is_broken = True
        await checkout.connection.aclose()
        checkout.give_back()


def _is_transient(error: CodedError) -> bool:
    if isinstance(error, EndpointRefusal):
        return error.sqlstate in _CONFLICT_SQLSTATES
    return error.code is not ResultCode.NOT_CARRIED


def _keyed_failure(error: CodedError, may_have_committed: bool) -> CodedError:
    """Name the outcome of a request with an id that was given up."""
    if may_have_committed:
        return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
    if error.code.number // 100 == _OUTCOME_HUNDREDS:
        return CodedError(ResultCode.ROLLED_BACK, error.detail)
    return error


_READY = {
    ord(status): b"Z\x00\x00\x00\x05" + status.encode() for status in ("I", "T", "E")
}
