"""Serves an ASGI application inside the caller's event loop."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
import uvicorn

from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..settings.address import Address

_BACKLOG = 512
# Time for requests in flight to end once the server is told to stop.
_GRACEFUL_SHUTDOWN_S = 1


class _EmbeddedServer(uvicorn.Server):
    """Server that leaves the process's signals alone and says when it serves."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.ready = anyio.Event()

    @contextmanager
    def capture_signals(self):
        """Leave signals to the program that embeds the server."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start as usual, then report that requests are served."""
        await super().startup(sockets)
        self.ready.set()


@asynccontextmanager
async def serve_http(application: Any, address: Address) -> AsyncIterator[Address]:
    """Serve an ASGI application until the context ends.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : Address
        Where to listen; port 0 lets the operating system choose.

    Yields
    ------
    Address
        Where it listens.

    Raises
    ------
    CodedError
        ADDRESS_IN_USE if the address cannot be bound.
    """
    listener = _listen(address)
    bound = Address(*listener.getsockname()[:2])
    server = _EmbeddedServer(_server_config(application))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_shielded, server, listener)
        await server.ready.wait()
        try:
            yield bound
        finally:
            server.should_exit = True


async def _serve_shielded(server: _EmbeddedServer, listener: socket.socket) -> None:
    # A cancelled server would leave its connections open; it ends by its flag.
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[listener])


def _server_config(application: Any) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        lifespan="off",
        log_config=None,
        log_level="warning",
        access_log=False,
        ws="none",
        timeout_graceful_shutdown=_GRACEFUL_SHUTDOWN_S,
    )


def _listen(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
        listener.listen(_BACKLOG)
    except OSError as error:
        listener.close()
        raise CodedError(ResultCode.ADDRESS_IN_USE, f"{address}: {error}") from error
    listener.setblocking(False)
    return listener
