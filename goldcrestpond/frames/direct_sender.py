"""Sends on a socket without a turn of the event loop if it takes the bytes."""

import os

from anyio.abc import ByteStream, SocketAttribute, SocketStream


class DirectSender:
    """Sender of one plain TCP connection; one send at a time.

    The descriptor is asked for at each send: a closed connection has none, so
    that bytes never reach a later connection of the same number. anyio keeps no
    bytes back once a send has returned; a send that was broken off may have left
    some, after which all go through the stream.

    Parameters
    ----------
    stream : ByteStream
        The connection; one that is no plain socket is only sent through.
    """

    __slots__ = ("_is_direct", "_socket", "_stream")

    def __init__(self, stream: ByteStream):
        self._stream = stream
        self._is_direct = isinstance(stream, SocketStream)
        if self._is_direct:
            self._socket = stream.extra(SocketAttribute.raw_socket)

    async def send(self, data: bytes) -> None:
        """Send bytes; waits while the other end does not read.

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
