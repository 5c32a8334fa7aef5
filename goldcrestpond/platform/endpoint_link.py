"""Connection to a database over the line protocol."""

import select

import anyio
from anyio.abc import SocketAttribute, SocketStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.direct_sender import DirectSender
from ..group.log_position import LogPosition
from ..serving.database import Database
from ..serving.database_report import DatabaseReport
from ..serving.reply import Reply
from ..serving.shape import Shape
from ..serving.statement import Statement
from ..serving.statement_kind import StatementKind
from ..serving.transaction_state import TransactionState
from ..settings.socket_timeouts import set_timeouts
from . import line_codec as codec
from .line_buffer import LineBuffer

RECEIVE_BYTES = 16384  # an answer of typical size in one read
QUIT_TIMEOUT_S = 0.2  # sending blocks if the database does not read
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class EndpointLink:
    """One connection, which answers one request after the other.

    Attributes
    ----------
    pool_connection_id, receive_count, last_receive_count, is_receiving, is_broken,
    is_abandoned
        See ``PooledLink``.
    values, prepared, state
        See ``Link``.
    """

    __slots__ = (
        "_decoder",
        "_lines",
        "_poll",
        "_sender",
        "_stream",
        "is_receiving",
        "is_abandoned",
        "is_broken",
        "pool_connection_id",
        "prepared",
        "receive_count",
        "last_receive_count",
        "state",
        "values",
    )

    def __init__(self, stream: SocketStream):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._lines = LineBuffer()
        self._decoder = codec.ReplyDecoder()
        raw = stream.extra(SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw.fileno(), select.POLLIN)
        self.pool_connection_id = 0
        self.receive_count = 0
        self.last_receive_count = 0
        self.is_receiving = False
        self.is_broken = False
        self.is_abandoned = False
        self.values: dict[str, str] = {}
        self.prepared: dict[Shape, str] = {}
        self.state = TransactionState.IDLE

    async def execute(
        self,
        statement: Statement,
        shape: Shape | None,
        min_position: LogPosition | None,
    ) -> Reply:
        """Run a caller's statement under its request id."""
        text = statement.text
        if statement.kind is StatementKind.EXECUTE and shape is not None:
            text = codec.format_execute(self.prepared[shape], statement.argument)
        return await self._request(
            codec.encode_query(statement.request_id, text, min_position)
        )

    async def begin(
        self, is_read_only: bool, min_position: LogPosition | None
    ) -> Reply:
        """Begin a transaction."""
        text = codec.BEGIN_READ_ONLY if is_read_only else codec.BEGIN
        return await self._request(
            codec.encode_query(codec.EMPTY_FIELD, text, min_position)
        )

    async def rollback(self) -> Reply:
        """Roll back the transaction."""
        return await self._request_own(codec.ROLLBACK)

    async def verify_leader(self) -> Reply:
        """Begin a write transaction and roll it back; return the reply to BEGIN."""
        reply = await self._request_own(codec.BEGIN)
        if self.state is not TransactionState.IDLE:
            await self.rollback()
        return reply

    async def check(self) -> None:
        """Check the connection with one empty read-only transaction."""
        reply = await self.begin(True, None)
        reply.raise_error()
        await self.rollback()

    async def reset(self) -> None:
        """Clear the session values and prepared statements."""
        (await self._request_own(codec.RESET)).raise_error()
        self.values.clear()
        self.prepared.clear()

    async def set_value(self, name: str, value: str) -> None:
        """Set a session value."""
        (await self._request_own(codec.format_set(name, value))).raise_error()
        self.values[name] = value

    async def prepare(self, shape: Shape) -> None:
        """Prepare a statement under a name that this link generates."""
        name = f"g{len(self.prepared) + 1}"
        (await self._request_own(codec.format_prepare(name, shape))).raise_error()
        self.prepared[shape] = name

    async def report(self) -> DatabaseReport:
        """Query the status of the database."""
        return await self._request_report(codec.STATUS)

    async def pause_replication(self, term: int) -> DatabaseReport:
        """Stop a replica from receiving the log."""
        return await self._request_report(codec.format_pause(term))

    async def resume_replication(self) -> DatabaseReport:
        """Let a paused replica receive the log again."""
        return await self._request_report(codec.RESUME)

    def is_quiet(self) -> bool:
        """Return whether the link is intact and no unread bytes have arrived."""
        return not self.is_broken and not self._poll.poll(0)

    async def aclose(self) -> None:
        """Send QUIT if the connection is intact, then close it."""
        with anyio.CancelScope(shield=True):
            if not self.is_broken:
                with anyio.move_on_after(QUIT_TIMEOUT_S):
                    await self._send_quit()
            self.is_broken = True
            await anyio.aclose_forcefully(self._stream)

    async def _send_quit(self) -> None:
        try:
            await self._sender.send(codec.QUIT_MESSAGE)
        except _CONNECTION_ERRORS:
            pass  # the database ends the session when the connection closes

    async def connect(self, database: Database, organisation: str = "") -> None:
        """Send CONNECT and check the answer.

        Parameters
        ----------
        database : Database
            Database to which the link leads.
        organisation : str
            Name of the organisation that the link serves; empty for none.

        Raises
        ------
        CodedError
            ENDPOINT_UNREACHABLE, ENDPOINT_FULL, WRONG_ENDPOINT or ENDPOINT_BUSY.
        """
        connect_message = codec.encode_connect(
            database.service, database.database_id, organisation
        )
        try:
            await self._sender.send(connect_message)
            line = await self._next_line()
        except (*_CONNECTION_ERRORS, CodedError) as error:
            detail = f"{database.database_id}: {error!r}"
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error
        refusal = codec.decode_connect_refusal(line)
        if refusal is not None:
            raise refusal
        self._decoder.feed(line)

    async def _request_report(self, text: str) -> DatabaseReport:
        reply = await self._request_own(text)
        reply.raise_error()
        if len(reply.rows) != 1:
            detail = f"{text}: {len(reply.rows)} rows"
            raise CodedError(ResultCode.ENDPOINT_MALFORMED, detail)
        return codec.decode_report(reply.rows[0])

    async def _request_own(self, text: str) -> Reply:
        return await self._request(codec.encode_query(codec.EMPTY_FIELD, text))

    async def _request(self, data: bytes) -> Reply:
        if self.is_broken:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "the connection is broken")
        self.is_broken = True  # until the complete answer has been read
        try:
            await self._sender.send(data)
            reply = None
            while reply is None:
                reply = self._decoder.feed(await self._next_line())
        except _CONNECTION_ERRORS as error:
            detail = f"connection lost: {error!r}"
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, detail) from error
        self.is_broken = False
        self.state = reply.state
        return reply

    async def _next_line(self) -> str:
        while True:
            line = self._lines.next_line()
            if line is not None:
                return line
            self.is_receiving = True
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            finally:
                self.is_receiving = False
            self.receive_count += 1
            self._lines.feed(data)


async def open_endpoint_link(
    database: Database, organisation: str = ""
) -> EndpointLink:
    """Connect to a database; the calling code sets the timeout.

    Parameters
    ----------
    database : Database
        The database.
    organisation : str
        Name of the organisation that the link serves; the database is told this name.
        Empty for links of the proxy itself, or if there are no organisations.

    Raises
    ------
    CodedError
        ENDPOINT_UNREACHABLE, ENDPOINT_FULL, WRONG_ENDPOINT or ENDPOINT_BUSY.
    """
    address = database.address
    try:
        stream = await anyio.connect_tcp(address.host, address.port)
    except OSError as error:
        detail = f"{database.database_id} at {address}: {error}"
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error
    set_timeouts(stream.extra(SocketAttribute.raw_socket))
    link = EndpointLink(stream)
    try:
        await link.connect(database, organisation)
    except BaseException:
        link.is_broken = True
        await link.aclose()
        raise
    return link
