"""One open connection to a database."""

import select
from datetime import timedelta

import anyio
from anyio.abc import SocketAttribute, SocketStream
from pygwire.messages import DataRow, RowDescription, Terminate

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames import kinds
from ..frames.build import query_frame
from ..frames.direct_sender import DirectSender
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter
from ..frames.read import read_error_fields, read_parameter, read_text
from ..settings.address import Address
from .endpoint_refusal import EndpointRefusal
from .query_result import QueryResult

RECEIVE_BYTES = 65536  # larger than most answers
TERMINATE_TIMEOUT_S = 1  # an endpoint that reads nothing must not delay the close
_NOTHING_READABLE: list = []


class EndpointConnection:
    """A connection to an endpoint; ``open_connection`` also authenticates it.

    Attributes
    ----------
    address : Address
        Address of the endpoint.
    parameters : dict of str to str
        Last ParameterStatus of each name.
    process_id : int
        Process id of the backend; cancels a statement, with ``secret_key``.
    secret_key : bytes
        Secret key of the backend for cancel requests.
    prepared : dict of str to None
        Names of the statements prepared here, least recently used first.
    read_only : bool
        Whether ``default_transaction_read_only`` is on.
    last_used : timedelta
        Monotonic time at which its last request ended.
    pool_connection_id : int
        Id of the connection within its pool.
    receive_count : int
        Number of reads that returned bytes.
    last_receive_count : int
        ``receive_count`` when the pool last looked.
    is_receiving : bool
        Whether a task waits for bytes from the endpoint now.
    is_broken : bool
        True once part of an answer may be missing or left over: the connection
        must not be used again.
    is_abandoned : bool
        See ``PooledLink``.
    """

    __slots__ = (
        "_poll",
        "_sender",
        "_splitter",
        "_stream",
        "address",
        "is_abandoned",
        "is_broken",
        "is_receiving",
        "last_receive_count",
        "last_used",
        "parameters",
        "pool_connection_id",
        "prepared",
        "process_id",
        "read_only",
        "receive_count",
        "secret_key",
    )

    def __init__(self, stream: SocketStream, splitter: FrameSplitter, address: Address):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._splitter = splitter
        self.address = address
        self.parameters: dict[str, str] = {}
        self.process_id = 0
        self.secret_key = b""
        self.prepared: dict[str, None] = {}
        self.read_only = False
        self.last_used = timedelta(0)
        self.is_broken = False
        self.is_abandoned = False
        self.pool_connection_id = 0
        self.receive_count = 0
        self.last_receive_count = 0
        self.is_receiving = False
        self._poll = select.poll()
        self._poll.register(
            stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN
        )

    @property
    def term(self) -> int:
        """Last ``group.term`` that the endpoint reported; 0 if it reported none."""
        return int(self.parameters.get("group.term", "0"))

    def is_quiet(self) -> bool:
        """Return whether nothing has been received since the last answer.

        Bytes or an end of stream on an idle connection mean that the endpoint
        closed it or that part of an answer was left unread: it must not be used.
        """
        return not self.is_broken and self._poll.poll(0) == _NOTHING_READABLE

    async def send(self, data: bytes) -> None:
        """Send bytes.

        Raises
        ------
        CodedError
            ANSWER_INTERRUPTED if the connection is lost; the endpoint may have
            received some of the bytes.
        """
        try:
            await self._sender.send(data)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._mark_broken("connection lost while sending") from error

    async def receive_frames(self) -> list[Frame]:
        """Wait until at least one frame is complete; return all complete frames.

        Raises
        ------
        CodedError
            ANSWER_INTERRUPTED if the connection ends first, MALFORMED_FRAME
            or FRAME_TOO_LARGE if the bytes are not valid frames.
        """
        while True:
            self.is_receiving = True
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except (
                OSError,
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as error:
                raise self._mark_broken("connection ended") from error
            finally:
                self.is_receiving = False
            self.receive_count += 1
            try:
                frames = self._splitter.feed(data)
            except CodedError:
                self.is_broken = True
                raise
            if frames:
                return frames

    async def query(self, sql: str) -> QueryResult:
        """Run one simple query that the proxy itself originates.

        Raises
        ------
        EndpointRefusal
            If the endpoint answers with an error.
        CodedError
            ANSWER_INTERRUPTED if the connection is lost before the answer ends.
        """
        # A call that is cancelled leaves an unread answer: the connection counts as
        # broken until the whole answer has been read.
        self.is_broken = True
        await self.send(query_frame(sql))
        frames: list[Frame] = []
        while not frames or frames[-1].kind != kinds.READY_FOR_QUERY:
            frames.extend(await self.receive_frames())
        self.is_broken = False
        self._update_parameters(frames)
        return _read_result(frames)

    async def check(self) -> None:
        """Make one round trip with an empty query."""
        await self.query("")

    def _update_parameters(self, frames: list[Frame]) -> None:
        for frame in frames:
            if frame.kind == kinds.PARAMETER_STATUS:
                status = read_parameter(frame)
                self.parameters[status.name] = status.value

    async def aclose(self) -> None:
        """Send Terminate unless the connection is broken, then close it."""
        with anyio.CancelScope(shield=True):
            if not self.is_broken:
                with anyio.move_on_after(TERMINATE_TIMEOUT_S):
                    await self._send_terminate()
            self.is_broken = True
            await anyio.aclose_forcefully(self._stream)

    async def _send_terminate(self) -> None:
        try:
            await self._stream.send(Terminate().to_wire())
        except (
            OSError,
            anyio.BrokenResourceError,
            anyio.BusyResourceError,  # another task is sending
            anyio.ClosedResourceError,
        ):
            pass

    def _mark_broken(self, detail: str) -> CodedError:
        self.is_broken = True
        return CodedError(ResultCode.ANSWER_INTERRUPTED, f"{self.address}: {detail}")


def _read_result(frames: list[Frame]) -> QueryResult:
    columns: list[str] = []
    rows: list[list[str | None]] = []
    tag = ""
    for frame in frames:
        if frame.kind == kinds.ERROR:
            fields = read_error_fields(frame)
            raise EndpointRefusal(fields.get("C", ""), fields.get("M", ""))
        if frame.kind == kinds.ROW_DESCRIPTION:
            columns = [field.name for field in RowDescription.decode(frame.body).fields]
        elif frame.kind == kinds.DATA_ROW:
            values = DataRow.decode(frame.body).columns
            rows.append([None if v is None else bytes(v).decode() for v in values])
        elif frame.kind == kinds.COMMAND_COMPLETE:
            tag = read_text(frame)
    return QueryResult(columns, rows, tag)
