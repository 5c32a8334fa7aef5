"""A TCP connection between two instances that carries framed messages."""

import anyio
from anyio.abc import SocketStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.direct_sender import DirectSender
from .messages import (
    LENGTH_BYTES,
    MESSAGE_LIMIT_BYTES,
    Message,
    Response,
    decode_response,
    encode,
)

RECEIVE_SIZE_BYTES = 16384  # a response of usual size in one read
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Channel:
    """Sends and receives messages, one request at a time.

    Attributes
    ----------
    is_broken : bool
        True while a response is outstanding and after the connection has failed.
    """

    __slots__ = ("_data", "_sender", "_stream", "is_broken")

    def __init__(self, stream: SocketStream):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._data = bytearray()
        self.is_broken = False

    async def send_request(self, message: Message) -> Response:
        """Send a request and return its response.

        Raises
        ------
        CodedError
            ANSWER_INTERRUPTED if no response arrives; the request may have been
            carried out.
        """
        if self.is_broken:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "the channel is broken")
        self.is_broken = True  # until the whole response has been read
        await self.send(message)
        response = decode_response(await self.receive())
        self.is_broken = False
        return response

    async def send(self, message: Message) -> None:
        """Send a message.

        Raises
        ------
        CodedError
            ANSWER_INTERRUPTED if the connection is lost.
        """
        try:
            await self._sender.send(encode(message))
        except _CONNECTION_ERRORS as error:
            raise self._connection_lost(error) from error

    async def receive(self) -> bytes:
        """Return the body of the next message.

        Raises
        ------
        CodedError
            ANSWER_INTERRUPTED if the connection is lost, PEER_MALFORMED if the
            length exceeds the limit.
        """
        while True:
            body = self._next_body()
            if body is not None:
                return body
            try:
                self._data += await self._stream.receive(RECEIVE_SIZE_BYTES)
            except _CONNECTION_ERRORS as error:
                raise self._connection_lost(error) from error

    async def aclose(self) -> None:
        """Close the connection."""
        self.is_broken = True
        await anyio.aclose_forcefully(self._stream)

    def _next_body(self) -> bytes | None:
        if len(self._data) < LENGTH_BYTES:
            return None
        end = LENGTH_BYTES + int.from_bytes(self._data[:LENGTH_BYTES])
        if end > LENGTH_BYTES + MESSAGE_LIMIT_BYTES:
            raise CodedError(ResultCode.PEER_MALFORMED, f"message of {end} bytes")
        if len(self._data) < end:
            return None
        body = bytes(self._data[LENGTH_BYTES:end])
        del self._data[:end]
        return body

    def _connection_lost(self, error: Exception) -> CodedError:
        self.is_broken = True
        detail = f"connection to a peer lost: {error!r}"
        return CodedError(ResultCode.ANSWER_INTERRUPTED, detail)
