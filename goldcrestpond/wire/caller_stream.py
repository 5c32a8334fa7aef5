"""Reads frames from a caller's connection and sends bytes to it."""

import ssl
from collections import deque

import anyio
from anyio.abc import ByteStream
from anyio.streams.tls import TLSStream

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..frames.direct_sender import DirectSender
from ..frames.frame import Frame
from ..frames.frame_splitter import FrameSplitter

RECEIVE_BYTES = 16384  # fits an ordinary request; idle callers keep no such buffer
_LINGER_S = 1  # time for a caller to read the last frames before the close


class CallerGone(Exception):
    """The caller closed its connection, or the connection broke."""


class CallerStream:
    """Reads frames from a caller and sends bytes to it.

    Parameters
    ----------
    stream : ByteStream
        The connection, possibly one over TLS.
    frame_limit_bytes : int
        Size of the largest frame that is accepted.
    """

    __slots__ = ("_frames", "_sender", "_splitter", "_stream")

    def __init__(self, stream: ByteStream, frame_limit_bytes: int):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._splitter = FrameSplitter(frame_limit_bytes)
        self._frames: deque[Frame] = deque()

    @property
    def has_frames(self) -> bool:
        """Whether a frame, or a part of one, has arrived and is not yet read."""
        return bool(self._frames) or self._splitter.pending_bytes > 0

    async def next_frame(self) -> Frame:
        """Return the next frame.

        Raises
        ------
        CallerGone
            If the connection ends before a frame is whole.
        CodedError
            MALFORMED_FRAME or FRAME_TOO_LARGE.
        """
        await self.wait_frame()
        return self._frames.popleft()

    async def wait_frame(self) -> None:
        """Wait until ``next_frame`` can return at once.

        May be cancelled safely: bytes that have arrived are kept.

        Raises
        ------
        CallerGone
            If the connection ends before a frame is whole.
        CodedError
            MALFORMED_FRAME or FRAME_TOO_LARGE.
        """
        while not self._frames:
            self._frames.extend(self._splitter.feed(await self._receive()))

    async def read_exactly(self, count: int) -> bytes:
        """Return the next ``count`` bytes; only for startup packets, before frames."""
        parts = []
        while count:
            try:
                part = await self._stream.receive(count)
            except _CONNECTION_ERRORS as error:
                raise CallerGone from error
            parts.append(part)
            count -= len(part)
        return b"".join(parts)

    async def send(self, data: bytes) -> None:
        """Send bytes; wait while the caller does not read.

        Raises
        ------
        CallerGone
            If the connection is lost.
        """
        try:
            await self._sender.send(data)
        except _CONNECTION_ERRORS as error:
            raise CallerGone from error

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Perform the TLS handshake; later bytes are encrypted.

        Raises
        ------
        CallerGone
            If the handshake fails.
        """
        try:
            self._stream = await TLSStream.wrap(
                self._stream,
                server_side=True,
                ssl_context=context,
                standard_compatible=False,
            )
            self._sender = DirectSender(self._stream)
        except _CONNECTION_ERRORS as error:
            raise CallerGone from error

    async def end_output(self) -> None:
        """Send an end of stream, and discard input until the caller closes.

        Closing a socket with unread bytes resets the connection, and the caller
        could then lose the last frames that were sent to it.
        """
        with anyio.move_on_after(_LINGER_S):
            try:
                await self._stream.send_eof()
                while True:
                    await self._stream.receive(RECEIVE_BYTES)
            except (*_CONNECTION_ERRORS, AttributeError, NotImplementedError):
                pass

    async def aclose(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self._stream.aclose()
            except _CONNECTION_ERRORS:
                pass

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(RECEIVE_BYTES)
        except _CONNECTION_ERRORS as error:
            if self._splitter.pending_bytes:
                raise CodedError(
                    ResultCode.MALFORMED_FRAME, "connection ended within a frame"
                ) from error
            raise CallerGone from error


_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
