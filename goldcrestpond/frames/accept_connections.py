"""Accepts connections for as long as the process runs (shell)."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketListener, SocketStream, TaskGroup
from anyio.streams.stapled import MultiListener

ACCEPT_RETRY_S = 0.1  # connections that end meanwhile free their descriptors


async def accept_connections(
    listener: MultiListener[SocketStream],
    handle: Callable[[SocketStream], Awaitable[None]],
    tasks: TaskGroup,
    report: Callable[[OSError], None],
) -> None:
    """Run ``handle`` for each connection until cancelled.

    A process without a free descriptor goes on serving what is connected; further
    connections wait in the listener's queue.

    Parameters
    ----------
    listener : MultiListener
        Where connections come in.
    handle : callable
        Serves one connection.
    tasks : TaskGroup
        Runs the handlers.
    report : callable
        Told why a connection could not be accepted.
    """

    async def accept_all(one: SocketListener) -> None:
        while True:
            try:
                stream = await one.accept()
            except OSError as error:
                report(error)
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            tasks.start_soon(handle, stream)

    async with anyio.create_task_group() as accepting:
        for one in listener.listeners:
            accepting.start_soon(accept_all, one)
