"""Serves an ASGI application in a running event loop."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import anyio
import uvicorn

from ..settings.address import Address
from .tcp_listener import open_tcp_listener

# Time that requests in flight have to end after the server is asked to stop.
_GRACEFUL_SHUTDOWN_S = 1


class _EmbeddedServer(uvicorn.Server):
    """Server that installs no signal handlers and sets ``ready`` once it serves."""

    def __init__(self, config: uvicorn.Config):
        super().__init__(config)
        self.ready = anyio.Event()
        self.stop_requested = anyio.Event()

    @contextmanager
    def capture_signals(self):
        """Leave signals to the program that runs the server."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start as usual, then set ``ready``."""
        await super().startup(sockets)
        self.ready.set()

    async def main_loop(self) -> None:
        """Wait until the server is asked to stop.

        uvicorn's loop updates the date header, which is switched off here, and
        polls for the stop.
        """
        await self.stop_requested.wait()


@asynccontextmanager
async def serve_http(application: Any, address: Address) -> AsyncIterator[Address]:
    """Serve an ASGI application until the context ends.

    Parameters
    ----------
    application : callable
        ASGI application.
    address : Address
        Address to listen on; port 0 lets the operating system choose.

    Yields
    ------
    Address
        The address it listens on, with the chosen port.

    Raises
    ------
    CodedError
        ADDRESS_IN_USE if the address cannot be bound.
    """
    listener = open_tcp_listener(address)
    bound_address = Address(*listener.getsockname()[:2])
    server = _EmbeddedServer(_make_server_config(application))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve_shielded, server, listener)
        await server.ready.wait()
        try:
            yield bound_address
        finally:
            server.stop_requested.set()


async def _serve_shielded(server: _EmbeddedServer, listener: socket.socket) -> None:
    # A cancelled server would leave its connections open, so it ends only through
    # its `stop_requested` event.
    with anyio.CancelScope(shield=True):
        await server.serve(sockets=[listener])


def _make_server_config(application: Any) -> uvicorn.Config:
    return uvicorn.Config(
        application,
        lifespan="off",
        log_config=None,
        log_level="warning",
        access_log=False,
        date_header=False,
        ws="none",
        timeout_graceful_shutdown=_GRACEFUL_SHUTDOWN_S,
    )
