"""A caller's connection as whole frames."""

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

RECEIVE_BYTES = 16384  # a usual request fits, and idle callers hold no buffer
_LINGER_S = 1  # a caller that reads at all has read the last words by then


class CallerGone(Exception):
    """The caller closed its connection or cannot be reached any more."""


class CallerStream:
    """Reads frames from a caller and sends bytes to it.

    Parameters
    ----------
    stream : ByteStream
        The connection, TLS included.
    frame_limit_bytes : int
        Largest frame that is taken.
    """

    __slots__ = ("_frames", "_sender", "_splitter", "_stream")

    def __init__(self, stream: ByteStream, frame_limit_bytes: int):
        self._stream = stream
        self._sender = DirectSender(stream)
        self._splitter = FrameSplitter(frame_limit_bytes)
        self._frames: deque[Frame] = deque()

    @property
    def has_frames(self) -> bool:
        """Whether a frame, or a part of one, has arrived and waits."""
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
        """Wait until a frame can be taken without waiting.

        Cancelling loses nothing: bytes that have arrived are kept.

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
        """Return ``count`` bytes that precede all frames, for the startup."""
        parts = []
        while count:
            try:
                part = await self._stream.receive(count)
            except _LOST as error:
                raise CallerGone from error
            parts.append(part)
            count -= len(part)
        return b"".join(parts)

    async def send(self, data: bytes) -> None:
        """Send bytes; waits while the caller does not read.

        Raises
        ------
        CallerGone
            If the connection is lost.
        """
        try:
            await self._sender.send(data)
        except _LOST as error:
            raise CallerGone from error

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Go on encrypted.

        Raises
        ------
        CallerGone
            If no encryption comes about.
        """
        try:
            self._stream = await TLSStream.wrap(
                self._stream,
                server_side=True,
                ssl_context=context,
                standard_compatible=False,
            )
            self._sender = DirectSender(self._stream)
        except _LOST as error:
            raise CallerGone from error

    async def end_output(self) -> None:
        """Say that nothing more follows, and drop what the caller still sends.

        Closing a connection with unread bytes would discard the last words
        that were sent on it.
        """
        with anyio.move_on_after(_LINGER_S):
            try:
                await self._stream.send_eof()
                while True:
                    await self._stream.receive(RECEIVE_BYTES)
            except (*_LOST, AttributeError, NotImplementedError):
                pass

    async def aclose(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            try:
                await self._stream.aclose()
            except _LOST:
                pass

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(RECEIVE_BYTES)
        except _LOST as error:
            if self._splitter.pending_bytes:
                raise CodedError(
                    ResultCode.MALFORMED_FRAME, "connection ended in a frame"
                ) from error
            raise CallerGone from error


_LOST = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
