"""Writes to a socket without yielding to the event loop if its buffer has room."""

import os

from anyio.abc import ByteStream, SocketAttribute, SocketStream


class DirectSender:
    """Sender for one plain TCP connection; allows one send at a time.

    The file descriptor is looked up at each send. A closed socket has none, so bytes
    never reach a later connection that was given the same descriptor.

    Writing past anyio keeps the order of bytes because anyio buffers nothing once a
    send has returned. A cancelled send may leave bytes in anyio's buffer; all later
    sends then go through the stream.

    Parameters
    ----------
    stream : ByteStream
        The connection. If it is not a plain socket, for instance TLS, every send
        goes through the stream.
    """

    __slots__ = ("_is_direct", "_socket", "_stream")

    def __init__(self, stream: ByteStream):
        self._stream = stream
        self._is_direct = isinstance(stream, SocketStream)
        if self._is_direct:
            self._socket = stream.extra(SocketAttribute.raw_socket)

    async def send(self, data: bytes) -> None:
        """Send bytes; waits while the socket's send buffer is full.

        Raises
        ------
        OSError, anyio.BrokenResourceError, anyio.ClosedResourceError
            If the connection is lost.
        """
        if not self._is_direct:
            await self._stream.send(data)
            return
        try:
            sent_count = os.write(self._socket.fileno(), data)
        except BlockingIOError:
            sent_count = 0
        if sent_count == len(data):
            return
        self._is_direct = False
        await self._stream.send(data[sent_count:])
        self._is_direct = True
