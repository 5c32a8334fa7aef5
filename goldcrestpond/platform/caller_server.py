"""Serves callers that speak the line protocol."""

import itertools
import traceback
from collections.abc import Callable
from datetime import timedelta
from enum import IntEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.direct_sender import DirectSender
from ..serving.caller_session import CallerSession
from ..serving.decision_log import DecisionLog
from ..serving.directory import Directory
from ..serving.reply import Reply
from ..serving.transaction_state import TransactionState
from ..settings.socket_timeouts import set_timeouts
from . import line_codec as codec
from .answer_budget import FREE_BYTES, AnswerBudget
from .line_buffer import LineBuffer
from .receive_budget import ReceiveBudget

_ABORT_REASON = "the instance is shutting down"
RECEIVE_BYTES = 4096  # several statements of typical size
SEND_PART_BYTES = 65536  # what the transport keeps of a long answer
# Callers wait this long for the answer to their CONNECT.
FIRST_ANSWER_TIMEOUT = timedelta(seconds=2)
# A short delay is enough: a refused caller usually reconnects to another instance, and
# sessions end all the time.
FULL_RETRY_DELAY = timedelta(seconds=1)
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ServingPhase(IntEnum):
    """How far the stop of an instance has come."""

    SERVING = 0
    # Sessions end after an answer outside a transaction.
    CLOSING = 1
    # Transactions are rolled back after an answer.
    ENDING = 2
    # Sessions end.
    ENDED = 3


class CallerServer:
    """Serves the sessions of callers until the instance stops.

    Parameters
    ----------
    directory : Directory
        Routes and services.
    open_session : callable
        Creates a `CallerSession` from a session key, a database name and the digest of
        the caller's key.
    caller_limit : int
        Maximum number of connected callers; 0 for no limit.
    log : DecisionLog
        Log of decisions.

    Attributes
    ----------
    answer_budget : AnswerBudget
        Limit on the memory for unread answers of all callers.
    budget : ReceiveBudget
        Limit on the memory for messages of all callers.
    phase : ServingPhase
        How far the stop of the instance has come.
    """

    __slots__ = (
        "_caller_limit",
        "_connections",
        "_directory",
        "_log",
        "_open_session",
        "_session_keys",
        "answer_budget",
        "budget",
        "phase",
    )

    def __init__(
        self,
        directory: Directory,
        open_session: Callable[[str, str, bytes], CallerSession],
        caller_limit: int,
        log: DecisionLog,
    ):
        self._directory = directory
        self._caller_limit = caller_limit
        self.answer_budget = AnswerBudget()
        self.budget = ReceiveBudget()
        self.phase = ServingPhase.SERVING
        self._open_session = open_session
        self._log = log
        self._session_keys = itertools.count(1)
        self._connections: set[_CallerConnection] = set()

    @property
    def caller_count(self) -> int:
        """Number of connected callers."""
        return len(self._connections)

    @property
    def open_transaction_count(self) -> int:
        """Number of callers inside a transaction."""
        return sum(connection.is_in_transaction for connection in self._connections)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve one caller until either side ends the session."""
        set_timeouts(stream.extra(SocketAttribute.raw_socket))
        connection = _CallerConnection(stream, f"c{next(self._session_keys)}", self)
        try:
            if self._caller_limit and len(self._connections) >= self._caller_limit:
                await connection.refuse(self._make_full_error())
                return
            self._connections.add(connection)
            await connection.run()
        except _CONNECTION_ERRORS:
            pass  # the caller disconnected; aclose rolls its transaction back
        except CodedError as error:
            self._log.decision(
                "caller dropped", session=connection.key, code=f"GP{error.code.number}"
            )
        except Exception as error:  # an error in one session must not end others
            self._log.decision(
                "internal error",
                session=connection.key,
                trace=traceback.format_exception(error),
            )
        finally:
            self._connections.discard(connection)
            await connection.aclose()

    async def open_session(self, key: str, connect: codec.Connect) -> CallerSession:
        """Open a session on the route of the caller's database.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE if it has no route, PLATFORM_UNAVAILABLE if no
            configuration has been received, AUTHENTICATION_FAILED or IDENTITY_UNPROVEN
            if the caller's key is not, or not known to be, of an organisation.
        """
        with anyio.move_on_after(FIRST_ANSWER_TIMEOUT.total_seconds() * 0.75):
            while not self._directory.table.version:
                await anyio.sleep(0.02)
        if not self._directory.table.version:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no configuration yet")
        session = self._open_session(key, connect.database, connect.key_digest)
        session.identify()
        return session

    def record_unread(self, key: str, left_bytes: int) -> None:
        """Record that a caller's answer was given up for those of other callers."""
        self._log.decision("answer not read", session=key, left_bytes=left_bytes)

    def _make_full_error(self) -> CodedError:
        count = len(self._connections)
        self._log.decision("caller refused", callers=count, limit=self._caller_limit)
        retry_after_ms = FULL_RETRY_DELAY // timedelta(milliseconds=1)
        return CodedError(
            ResultCode.TOO_MANY_CALLERS,
            f"{count} callers are connected",
            retry_after_ms,
        )

    @property
    def idle_transaction_timeout(self) -> timedelta:
        """Time after which an idle transaction is rolled back."""
        return self._directory.table.transaction_idle_limit

    def close_after_answers(self) -> None:
        """Close each session after its next answer outside a transaction."""
        self.phase = ServingPhase.CLOSING

    async def end_transactions(self) -> None:
        """Roll transactions back, those with a running statement after its answer."""
        self.phase = ServingPhase.ENDING
        async with anyio.create_task_group() as tasks:
            for connection in list(self._connections):
                tasks.start_soon(connection.abort, _ABORT_REASON)

    def close_idle_sessions(self) -> None:
        """Close the sessions without a running statement or open transaction."""
        for connection in list(self._connections):
            connection.close_when_idle()

    def interrupt_statements(self) -> None:
        """Answer the running statements with what is known, and end all sessions."""
        self.phase = ServingPhase.ENDED
        for connection in list(self._connections):
            connection.interrupt()


class _CallerConnection:
    """Connection of one caller and its session."""

    __slots__ = (
        "_is_sending",
        "_lines",
        "_receive_scope",
        "_scope",
        "_sender",
        "_server",
        "_session",
        "_stream",
        "key",
    )

    def __init__(self, stream: SocketStream, key: str, server: CallerServer):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._lines = LineBuffer(server.budget)
        self._server = server
        self._session: CallerSession | None = None
        self._receive_scope: anyio.CancelScope | None = None
        self._scope = anyio.CancelScope()
        self._is_sending = False
        self.key = key

    @property
    def is_in_transaction(self) -> bool:
        """Whether the caller is inside a transaction, also a failed one."""
        return self._transaction_state is not TransactionState.IDLE

    @property
    def _transaction_state(self) -> TransactionState:
        if self._session is None:
            return TransactionState.IDLE
        return self._session.transaction_state

    @property
    def _can_close(self) -> bool:
        """Whether closing the session loses no healthy transaction and no answer."""
        if self._session is None or self._session.has_unreported_abort:
            return False
        return self._transaction_state is not TransactionState.OPEN

    @property
    def _closes_after_answer(self) -> bool:
        return self._server.phase >= ServingPhase.CLOSING

    async def refuse(self, error: CodedError) -> None:
        """Send the error after the caller's first message has arrived."""
        # Closing with unread data resets the connection, and the error is lost.
        with anyio.move_on_after(FIRST_ANSWER_TIMEOUT.total_seconds()):
            await self._next_message()
        await self._send_error(error)

    async def run(self) -> None:
        """Answer the caller's messages in order."""
        try:
            with self._scope:
                if not await self._start_session():
                    return
                while await self._answer_next_message():
                    pass
        except CodedError as error:
            await self._send_error(error)
            raise
        if self._session is not None and self._session.interrupted_reply is not None:
            await self._send_reply(self._session.interrupted_reply)

    async def _send_error(self, error: CodedError) -> None:
        await self._sender.send(codec.encode_error(error.code, error.text))

    async def _send_reply(self, reply: Reply) -> None:
        self._is_sending = True
        size_bytes = 0 if reply.error is not None else sum(map(len, reply.rows))
        if size_bytes <= FREE_BYTES:
            await self._sender.send(codec.encode_reply(reply))
        else:
            await self._send_long_reply(reply, size_bytes)
        self._is_sending = False

    async def _send_long_reply(self, reply: Reply, size_bytes: int) -> None:
        """Send a reply in parts, unless it is given up for other callers' replies."""
        budget, left_bytes = self._server.answer_budget, size_bytes
        with anyio.CancelScope() as scope:
            give_up = scope.cancel
            try:
                budget.record_left(give_up, left_bytes)
                for part in codec.encode_reply_parts(reply, SEND_PART_BYTES):
                    await self._sender.send(part)
                    left_bytes = max(1, left_bytes - len(part))
                    budget.record_left(give_up, left_bytes)
            finally:
                budget.record_left(give_up, 0)
        if scope.cancelled_caught:
            self._server.record_unread(self.key, left_bytes)
            raise anyio.BrokenResourceError

    def interrupt(self) -> None:
        """End the session; a running statement is answered with what is known."""
        if not self._is_sending:
            self._scope.cancel()

    def close_when_idle(self) -> None:
        """Close the session unless a statement runs or a transaction is open."""
        if self._receive_scope is not None and self._can_close:
            self._receive_scope.cancel()

    async def abort(self, reason: str) -> None:
        """Roll back the caller's transaction unless a statement is running."""
        if self._session is not None and self._receive_scope is not None:
            await self._session.abort(reason)

    async def aclose(self) -> None:
        """Roll back an open transaction and close the connection."""
        self._lines.close()
        with anyio.CancelScope(shield=True):
            if self._session is not None:
                await self._session.aclose()
            await anyio.aclose_forcefully(self._stream)

    async def _start_session(self) -> bool:
        message = await self._next_message()
        if message is None:
            return False
        if not isinstance(message, codec.Connect):
            raise CodedError(
                ResultCode.MALFORMED_FRAME, "the first message must be CONNECT"
            )
        if self._server.phase >= ServingPhase.ENDING:
            raise CodedError(ResultCode.SHUTTING_DOWN)
        self._session = await self._server.open_session(self.key, message)
        await self._sender.send(codec.encode_ready(TransactionState.IDLE))
        return True

    async def _answer_next_message(self) -> bool:
        message = await self._next_message()
        if message is None:
            return False
        if not isinstance(message, codec.Query):
            raise CodedError(ResultCode.MALFORMED_FRAME, "the session is already open")
        await self._send_reply(await self._run_query(message))
        if self._server.phase is ServingPhase.ENDED:
            return False
        if self._server.phase is ServingPhase.ENDING:
            await self._session.abort(_ABORT_REASON)
        return self.is_in_transaction or not self._closes_after_answer

    async def _run_query(self, query: codec.Query) -> Reply:
        try:
            statement = codec.decode_statement(query)
        except CodedError as error:
            state = self._session.transaction_state
            return Reply(error=error.code, detail=error.detail, state=state)
        return await self._session.run(statement)

    async def _next_message(self) -> codec.Connect | codec.Query | None:
        """Return the caller's next message, or None if the session must end."""
        line = await self._read_line()
        if line is None:
            return None
        message = codec.decode_caller_line(line)
        return None if isinstance(message, codec.Quit) else message

    async def _read_line(self) -> str | None:
        """Return the next line, or None if the session must end."""
        while True:
            line = self._lines.next_line()
            if line is not None:
                return line
            data = await self._receive()
            if data is None:
                return None
            self._lines.feed(data)

    async def _receive(self) -> bytes | None:
        """Return received bytes, or None if the session must end.

        Rolls back the transaction of a caller that is idle for too long.
        """
        while True:
            timeout_s = None
            if self.is_in_transaction:
                timeout_s = self._server.idle_transaction_timeout.total_seconds()
            with anyio.move_on_after(timeout_s) as self._receive_scope:
                data = await self._stream.receive(RECEIVE_BYTES)
                self._receive_scope = None
                return data
            self._receive_scope = None
            if self._closes_after_answer and self._can_close:
                return None
            if self._session is not None:
                await self._session.abort("idle for too long")
