"""A loopback TCP proxy that delays, resets, cuts or silences connections."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from ..settings.address import Address

LOOPBACK = "127.0.0.1"
RECEIVE_BYTES = 65536
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@dataclass(slots=True)
class LinkFaults:
    """Faults that apply to the bytes of all connections of a proxy.

    Attributes
    ----------
    delay_s : float
        Delay of the bytes in each direction.
    drops_requests, drops_answers : bool
        Whether bytes in that direction are discarded, also on new connections.
    """

    delay_s: float = 0.0
    drops_requests: bool = False
    drops_answers: bool = False


class FaultProxy:
    """Forwards connections to one target.

    Parameters
    ----------
    target : Address
        Address to which connections are forwarded.

    Attributes
    ----------
    address : Address or None
        Address on which it listens; None before ``start``.
    faults : LinkFaults
        Current faults.
    is_cut : callable
        Called with the port of the caller of each new connection; whether all its
        bytes are discarded.
    """

    def __init__(self, target: Address):
        self.target = target
        self.address: Address | None = None
        self.faults = LinkFaults()
        self.is_cut: Callable[[int], bool] = lambda port: False
        self._pairs: set[_StreamPair] = set()

    async def start(self, tasks: TaskGroup) -> Address:
        """Start to listen and return the address."""
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        self.address = Address(LOOPBACK, port)
        tasks.start_soon(listener.serve, self._forward_connection)
        return self.address

    async def reset_connections(self, is_silent_only: bool = False) -> None:
        """Close every open connection, or every silent one, at once."""
        for pair in list(self._pairs):
            if pair.is_silent or not is_silent_only:
                await pair.aclose()

    def silence_connections(
        self, is_silenced: Callable[[int], bool] = lambda port: True
    ) -> None:
        """Discard all further bytes of open connections; new connections work.

        Parameters
        ----------
        is_silenced : callable
            Called with the port of the caller of each connection; whether to do so.
        """
        for pair in self._pairs:
            pair.is_silent = pair.is_silent or is_silenced(pair.caller_port)

    async def _forward_connection(self, caller_stream: SocketStream) -> None:
        try:
            target_stream = await anyio.connect_tcp(self.target.host, self.target.port)
        except OSError:
            await anyio.aclose_forcefully(caller_stream)
            return
        pair = _StreamPair(caller_stream, target_stream)
        pair.is_silent = self.is_cut(pair.caller_port)
        self._pairs.add(pair)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward, pair, caller_stream, target_stream, "drops_requests"
                )
                tasks.start_soon(
                    self._forward, pair, target_stream, caller_stream, "drops_answers"
                )
        finally:
            self._pairs.discard(pair)
            with anyio.CancelScope(shield=True):
                await pair.aclose()

    async def _forward(
        self,
        pair: "_StreamPair",
        source: SocketStream,
        sink: SocketStream,
        drop_fault: str,
    ) -> None:
        try:
            while True:
                data = await source.receive(RECEIVE_BYTES)
                if self.faults.delay_s:
                    await anyio.sleep(self.faults.delay_s)
                if not (pair.is_silent or getattr(self.faults, drop_fault)):
                    await sink.send(data)
        except _CONNECTION_ERRORS:
            await pair.aclose()


class _StreamPair:
    """The two streams of one forwarded connection."""

    def __init__(self, caller_stream: SocketStream, target_stream: SocketStream):
        self._caller_stream = caller_stream
        self._target_stream = target_stream
        self.caller_port = caller_stream.extra(SocketAttribute.remote_port)
        self.is_silent = False

    async def aclose(self) -> None:
        """Close both streams at once, without waiting for pending data."""
        await anyio.aclose_forcefully(self._caller_stream)
        await anyio.aclose_forcefully(self._target_stream)
