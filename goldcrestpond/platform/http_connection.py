"""One HTTP/1.1 connection to a service of the platform."""

from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address
from ..settings.socket_timeouts import set_timeouts

RECEIVE_BYTES = 65536
BODY_LIMIT_BYTES = 16 << 20  # the platform's answers have at most 1 MB


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete HTTP response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict of str to str
        Header fields; names are in lower case.
    body : bytes
        Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class HttpConnection:
    """Sends one request at a time; not reusable after an incomplete answer."""

    __slots__ = ("_answer_count", "_connection", "_host", "_stream", "is_broken")

    def __init__(self, stream: SocketStream, address: Address):
        self._stream = stream
        self._host = str(address)
        self._connection = h11.Connection(h11.CLIENT)
        self._answer_count = 0
        self.is_broken = False

    @property
    def kind(self) -> str:
        """Words for error messages: whether the connection has been used before."""
        return "a reused" if self._answer_count else "a new"

    async def request(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> HttpAnswer:
        """Send a request and return its answer.

        Raises
        ------
        CodedError
            PLATFORM_UNAVAILABLE if no complete answer arrives; the request may
            have been carried out or may still be carried out later.
        """
        self.is_broken = True  # until the complete answer has been read
        try:
            await self._stream.send(self._encode(method, target, headers, body))
            answer = await self._receive_answer()
        except (
            OSError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.ProtocolError,
        ) as error:
            detail = f"{method} {target.partition('?')[0]}: {error!r}"
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error
        if self._connection.our_state is h11.DONE:
            if self._connection.their_state is h11.DONE:
                self._connection.start_next_cycle()
                self.is_broken = False
                self._answer_count += 1
        return answer

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_broken = True
        await anyio.aclose_forcefully(self._stream)

    def _encode(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> bytes:
        lines = [("Host", self._host), *headers]
        if body or method != "GET":
            lines.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=lines)
        data = self._connection.send(request)
        if body:
            data += self._connection.send(h11.Data(data=body))
        return data + self._connection.send(h11.EndOfMessage())

    async def _receive_answer(self) -> HttpAnswer:
        status = 0
        headers: dict[str, str] = {}
        parts: list[bytes] = []
        size_bytes = 0
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                self._connection.receive_data(await self._receive_bytes())
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {n.decode(): v.decode("latin-1") for n, v in event.headers}
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size_bytes += len(event.data)
                if size_bytes > BODY_LIMIT_BYTES:
                    raise h11.RemoteProtocolError("the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                return HttpAnswer(status, headers, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream

    async def _receive_bytes(self) -> bytes:
        try:
            return await self._stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return b""


async def open_http_connection(address: Address) -> HttpConnection:
    """Connect; the calling code sets the timeout.

    Raises
    ------
    CodedError
        PLATFORM_UNAVAILABLE if the connection cannot be opened; nothing was sent.
    """
    try:
        stream = await anyio.connect_tcp(address.host, address.port)
    except OSError as error:
        detail = f"{address}: {error}"
        raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail) from error
    set_timeouts(stream.extra(SocketAttribute.raw_socket))
    return HttpConnection(stream, address)
