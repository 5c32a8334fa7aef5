"""Serves one caller: batches in, whole answers out."""

import logging
from datetime import timedelta

import anyio
from pygwire.constants import TransactionStatus

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.build import READY_IDLE, error_frame, parameter_frame, query_frame
from .answer_end import STATUS_IDLE, AnswerEnd
from .answer_relay import AnswerRelay
from .answer_script import AnswerScript
from .batch import Batch, read_batch
from .caller_statements import CallerStatements
from .caller_stream import CallerStream
from .checkout import Checkout
from .declarations import PREFIX, Declarations, write_token
from .group_service import GroupService
from .local_answers import LocalAnswers
from .session_limits import SessionLimits
from .session_metrics import SessionMetrics
from .session_startup import Identity
from .statement_kind import StatementKind

TOKEN_PARAMETER = PREFIX + "token"
_CONCURRENT_SEND_BYTES = 32768  # above this an endpoint may answer before it has read
# A caller's request may be on its way while its session is told to stop.
_CROSSING_S = 0.02
_NO_COMPLETIONS = frozenset((kinds.QUERY, kinds.SYNC, kinds.FLUSH))
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
    service : GroupService
        The group that serves it.
    limits : SessionLimits
        Bounds.
    clock : Clock
        Source of monotonic readings.
    metrics : SessionMetrics
        Counters and timers.
    """

    __slots__ = (
        "_checkout",
        "_clock",
        "_declarations",
        "_identity",
        "_idle_scope",
        "_is_pinned",
        "_limits",
        "_local",
        "_metrics",
        "_relay",
        "_script",
        "_sent_completions",
        "_service",
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
        service: GroupService,
        limits: SessionLimits,
        clock: Clock,
        metrics: SessionMetrics,
    ):
        self._stream = stream
        self._identity = identity
        self._declarations = declarations
        self._service = service
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._local = LocalAnswers(declarations, service.name)
        self._statements = CallerStatements()
        self._checkout: Checkout | None = None
        self._relay: AnswerRelay | None = None
        self._script = AnswerScript()
        self._sent_completions = 0
        self._status = STATUS_IDLE
        self._is_pinned = False
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
                raise CodedError(ResultCode.SHUTTING_DOWN)
            await self._stream.wait_frame()
        is_stopped = self._idle_scope.cancelled_caught
        if is_stopped:
            await self._take_crossing_request()
        self._idle_scope = None

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

    async def _run_first(self, batch: Batch) -> None:
        """Run a batch that no transaction precedes, again if that is safe."""
        statement = batch.first_statement()
        kind = statement.kind if statement else StatementKind.WORK
        if kind is StatementKind.NOT_CARRIED:
            raise CodedError(ResultCode.NOT_CARRIED, statement.name)
        is_read = self._declarations.read_only or kind is StatementKind.BEGIN_READ_ONLY
        deadline = self._clock.now() + timedelta(
            milliseconds=self._identity.route.queue_timeout_ms
        )
        while True:
            self._checkout = await self._acquire(is_read, deadline)
            self._is_pinned = self._is_pinned or kind is StatementKind.SET_SESSION
            try:
                await self._run_on_checkout(batch)
                return
            except CodedError as error:
                if not self._may_repeat(is_read, deadline):
                    raise self._explain(error) from error
                _log.info("wire: request repeated: %s", error)
                await self._drop_checkout()

    def _may_repeat(self, is_read: bool, deadline: timedelta) -> bool:
        if self._relay is not None and self._relay.relayed_bytes:
            return False
        if self._is_pinned or self._clock.now() >= deadline:
            return False
        return is_read or self._declarations.repeatable

    def _explain(self, error: CodedError) -> CodedError:
        """Name the outcome of a request whose answer broke off."""
        if error.code is ResultCode.ANSWER_INTERRUPTED:
            return CodedError(ResultCode.OUTCOME_UNKNOWN, error.detail)
        return error

    async def _acquire(self, is_read: bool, deadline: timedelta) -> Checkout:
        is_aged = is_read and self._declarations.max_age is not None
        if not is_aged:
            await self._service.ensure_floor(self._declarations, deadline)
        if is_read:
            return await self._service.acquire_reader(
                self._declarations, self._identity.fairness_key, deadline
            )
        return await self._service.acquire_primary(
            self._declarations, self._identity.fairness_key, deadline
        )

    async def _run_on_checkout(self, batch: Batch) -> None:
        timeout = self._identity.route.statement_timeout_ms / 1000
        with anyio.move_on_after(timeout):
            await self._run_batch(batch)
            return
        self._checkout.connection.is_broken = True
        raise CodedError(ResultCode.PROGRESS_DEADLINE)

    async def _run_batch(self, batch: Batch) -> None:
        connection = self._checkout.connection
        relay = self._relay
        if relay is None:
            self._script = AnswerScript()
            self._sent_completions = 0
            relay = AnswerRelay(connection, self._stream, self._script)
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
            checkout.give_back()
        else:
            checkout.hold()
        self._metrics.answered(checkout.is_primary)
        held = end.held
        if end.committed is not None:
            held = await self._confirm(end) + held
        await self._stream.send(held + _READY[end.status])

    async def _confirm(self, end: AnswerEnd) -> bytes:
        """Wait until the commit cannot be lost; return the new token's frame.

        Raises
        ------
        CodedError
            TERM_SUPERSEDED or OUTCOME_UNKNOWN.
        """
        deadline = self._clock.now() + self._limits.acknowledge_timeout
        await self._service.monitor.confirm(end.committed, deadline)
        self._declarations.raise_floor(end.committed)
        token = write_token(self._service.name, self._declarations.floor)
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


_READY = {
    ord(status): b"Z\x00\x00\x00\x05" + status.encode() for status in ("I", "T", "E")
}
