"""A PostgreSQL client with little overhead, which sends ready-made frames."""

import anyio
from anyio.abc import SocketStream
from pygwire.messages import Query, StartupMessage

from goldcrestpond.settings.address import Address

_RECEIVE_BYTES = 65536
# ReadyForQuery outside a transaction, which ends each answer.
_READY = b"Z\x00\x00\x00\x05I"
_ERROR = b"E"


class RawCaller:
    """One session that sends ready-made frames.

    Parameters
    ----------
    stream : SocketStream
        Connection to the server.
    """

    __slots__ = ("_stream",)

    def __init__(self, stream: SocketStream):
        self._stream = stream

    async def request(self, frame: bytes) -> None:
        """Send a frame and receive its answer to the end.

        Raises
        ------
        RuntimeError
            If the answer is an error.
        """
        await self._stream.send(frame)
        answer = await self._stream.receive(_RECEIVE_BYTES)
        while not answer.endswith(_READY):
            answer += await self._stream.receive(_RECEIVE_BYTES)
        if answer.startswith(_ERROR):
            raise RuntimeError(answer)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


async def open_caller(address: Address, database: str) -> RawCaller:
    """Connect and start a session.

    Raises
    ------
    RuntimeError
        If the server refuses the session.
    """
    stream = await anyio.connect_tcp(address.host, address.port)
    caller = RawCaller(stream)
    startup = StartupMessage({"user": "bench", "database": database}).to_wire()
    await caller.request(startup)
    return caller


def query_frame(sql: str) -> bytes:
    """Return the frame of a simple query."""
    return Query(sql).to_wire()
