"""HTTP server for the platform's ready probe and the metrics."""

from collections.abc import Callable

import anyio
import h11
from anyio.abc import SocketStream

from ..serving.metrics import Metrics

READY_PATH = b"/-/ready"
METRICS_PATH = b"/metrics"
RECEIVE_BYTES = 4096
IDLE_TIMEOUT_S = 30.0  # the platform probes once a second
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ReadyServer:
    """Serves the ready probe and the metrics.

    Parameters
    ----------
    is_ready : callable
        Returns whether the instance accepts new callers.
    metrics : Metrics
        Metrics to render as text on request.
    """

    __slots__ = ("_is_ready", "_metrics")

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics):
        self._is_ready = is_ready
        self._metrics = metrics

    async def serve_connection(self, stream: SocketStream) -> None:
        """Answer requests on one connection until it is closed."""
        connection = h11.Connection(h11.SERVER)
        try:
            while connection.our_state is h11.IDLE:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    request = await self._read_request(connection, stream)
                if request is None:
                    break
                await stream.send(self._encode_answer(connection, request))
                if connection.our_state is not h11.DONE:
                    break
                connection.start_next_cycle()
        except (*_CONNECTION_ERRORS, h11.ProtocolError, TimeoutError):
            pass  # the platform sends its next probe on a new connection
        finally:
            await anyio.aclose_forcefully(stream)

    async def _read_request(
        self, connection: h11.Connection, stream: SocketStream
    ) -> h11.Request | None:
        request = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(RECEIVE_BYTES)
                except anyio.EndOfStream:
                    data = b""
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _encode_answer(self, connection: h11.Connection, request: h11.Request) -> bytes:
        status, body = 404, b""
        if request.target == READY_PATH:
            status = 200 if self._is_ready() else 503
        elif request.target == METRICS_PATH:
            status, body = 200, self._metrics.render()
        headers = [("Content-Length", str(len(body)))]
        data = connection.send(h11.Response(status_code=status, headers=headers))
        if body:
            data += connection.send(h11.Data(data=body))
        return data + connection.send(h11.EndOfMessage())
