"""Accepts callers that speak the line protocol (shell)."""

import itertools
import traceback
from collections.abc import Callable
from datetime import timedelta

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
from .line_buffer import LineBuffer
from .receive_budget import ReceiveBudget

RECEIVE_BYTES = 4096  # several statements of usual size
CONNECT_LIMIT = timedelta(seconds=2)  # callers wait so long for the first answer
# A caller that is refused comes back to another instance; sessions end all the time.
FULL_RETRY = timedelta(seconds=1)
_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CallerServer:
    """Serves callers until it is stopped.

    Parameters
    ----------
    directory : Directory
        Routes and services.
    open_session : callable
        Makes the session of a caller's key and database name.
    limit : int
        Callers that may be connected; 0 for any number.
    log : DecisionLog
        Sink of decisions.

    Attributes
    ----------
    budget : ReceiveBudget
        Memory that messages of callers may take.
    """

    __slots__ = (
        "_connections",
        "_directory",
        "_keys",
        "_limit",
        "_log",
        "_open_session",
        "budget",
    )

    def __init__(
        self,
        directory: Directory,
        open_session: Callable[[str, str], CallerSession],
        limit: int,
        log: DecisionLog,
    ):
        self._directory = directory
        self._limit = limit
        self.budget = ReceiveBudget()
        self._open_session = open_session
        self._log = log
        self._keys = itertools.count(1)
        self._connections: set[_CallerConnection] = set()

    @property
    def caller_count(self) -> int:
        """Callers that are connected."""
        return len(self._connections)

    @property
    def open_transaction_count(self) -> int:
        """Callers that are inside a transaction."""
        return sum(connection.is_in_transaction for connection in self._connections)

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve one caller until either side ends the session."""
        set_timeouts(stream.extra(SocketAttribute.raw_socket))
        connection = _CallerConnection(stream, f"c{next(self._keys)}", self)
        try:
            if self._limit and len(self._connections) >= self._limit:
                await connection.refuse(self._full())
                return
            self._connections.add(connection)
            await connection.run()
        except _LOST:
            pass  # the caller left; its transaction is rolled back below
        except CodedError as error:
            self._log.decision(
                "caller dropped", session=connection.key, code=f"GP{error.code.number}"
            )
        except Exception as error:  # a fault in one session ends only that session
            self._log.decision(
                "internal error",
                session=connection.key,
                trace=traceback.format_exception(error),
            )
        finally:
            self._connections.discard(connection)
            await connection.aclose()

    async def open_session(self, key: str, connect: codec.Connect) -> CallerSession:
        """Return a session for a caller whose database has a route.

        Raises
        ------
        CodedError
            UNKNOWN_DATABASE, or PLATFORM_UNAVAILABLE if no configuration came.
        """
        with anyio.move_on_after(CONNECT_LIMIT.total_seconds() * 0.75):
            while not self._directory.table.version:
                await anyio.sleep(0.02)
        if not self._directory.table.version:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no configuration yet")
        self._directory.route(connect.database)
        return self._open_session(key, connect.database)

    def _full(self) -> CodedError:
        count = len(self._connections)
        self._log.decision("caller refused", callers=count, limit=self._limit)
        retry_after_ms = FULL_RETRY // timedelta(milliseconds=1)
        return CodedError(
            ResultCode.TOO_MANY_CALLERS, f"{count} callers", retry_after_ms
        )

    @property
    def idle_limit(self) -> timedelta:
        """Longest pause inside a transaction."""
        return self._directory.table.transaction_idle_limit

    def close_after_answers(self) -> None:
        """Close each session after its next answer, when nothing is on its way."""
        for connection in self._connections:
            connection.is_ending = True

    def close_idle_sessions(self) -> None:
        """Close the sessions that wait for nothing."""
        for connection in list(self._connections):
            connection.end_when_idle()

    async def abort_transactions(self) -> None:
        """Roll back what callers keep open."""
        for connection in list(self._connections):
            await connection.abort("shutting down")


class _CallerConnection:
    """One caller's connection."""

    __slots__ = (
        "_lines",
        "_reading",
        "_sender",
        "_server",
        "_session",
        "_stream",
        "is_ending",
        "key",
    )

    def __init__(self, stream: SocketStream, key: str, server: CallerServer):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._lines = LineBuffer(server.budget)
        self._server = server
        self._session: CallerSession | None = None
        self._reading: anyio.CancelScope | None = None
        self.is_ending = False
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
    def _may_end(self) -> bool:
        """Whether nothing that could still be kept is cut by an end."""
        return self._transaction_state is not TransactionState.OPEN

    async def refuse(self, error: CodedError) -> None:
        """Say why the caller is not served."""
        # A close before its message was read would take the answer with it.
        with anyio.move_on_after(CONNECT_LIMIT.total_seconds()):
            await self._next_message()
        await self._say(error)

    async def run(self) -> None:
        """Answer the caller's messages in order."""
        try:
            if not await self._connect():
                return
            while await self._answer_next():
                pass
        except CodedError as error:
            await self._say(error)
            raise

    async def _say(self, error: CodedError) -> None:
        await self._sender.send(codec.encode_error(error.code, error.text))

    def end_when_idle(self) -> None:
        """End the session as soon as no statement runs and none is to follow."""
        self.is_ending = True
        if self._reading is not None and self._may_end:
            self._reading.cancel()

    async def abort(self, reason: str) -> None:
        """Roll back the caller's transaction unless a statement is running."""
        if self._session is not None and self._reading is not None:
            await self._session.abort(reason)

    async def aclose(self) -> None:
        """Roll back and close."""
        self._lines.close()
        with anyio.CancelScope(shield=True):
            if self._session is not None:
                await self._session.aclose()
            await anyio.aclose_forcefully(self._stream)

    async def _connect(self) -> bool:
        message = await self._next_message()
        if message is None:
            return False
        if not isinstance(message, codec.Connect):
            raise CodedError(ResultCode.MALFORMED_FRAME, "CONNECT comes first")
        self._session = await self._server.open_session(self.key, message)
        await self._sender.send(codec.encode_ready(TransactionState.IDLE))
        return True

    async def _answer_next(self) -> bool:
        message = await self._next_message()
        if message is None:
            return False
        if not isinstance(message, codec.Query):
            raise CodedError(ResultCode.MALFORMED_FRAME, "the session has begun")
        reply = await self._run(message)
        await self._sender.send(codec.encode_reply(reply))
        return self.is_in_transaction or not self.is_ending

    async def _run(self, query: codec.Query) -> Reply:
        try:
            statement = codec.decode_statement(query)
        except CodedError as error:
            state = self._session.transaction_state
            return Reply(error=error.code, detail=error.detail, state=state)
        return await self._session.run(statement)

    async def _next_message(self) -> codec.Connect | codec.Query | None:
        """Return the caller's next message; None if the session is to end."""
        line = await self._read_line()
        if line is None:
            return None
        message = codec.decode_caller_line(line)
        return None if isinstance(message, codec.Quit) else message

    async def _read_line(self) -> str | None:
        """Return the next line; None if the session is to end."""
        while True:
            line = self._lines.next_line()
            if line is not None:
                return line
            data = await self._receive()
            if data is None:
                return None
            self._lines.feed(data)

    async def _receive(self) -> bytes | None:
        while True:
            limit_s = None
            if self.is_in_transaction:
                limit_s = self._server.idle_limit.total_seconds()
            with anyio.move_on_after(limit_s) as self._reading:
                data = await self._stream.receive(RECEIVE_BYTES)
                self._reading = None
                return data
            self._reading = None
            if self.is_ending and self._may_end:
                return None
            if self._session is not None:
                await self._session.abort("idle for too long")
