"""Accepts connections for as long as the process runs."""

from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream
from anyio.streams.stapled import MultiListener

from ..tasks.supervised_tasks import SupervisedTasks

ACCEPT_RETRY_S = 0.1  # time for other connections to close and free descriptors


async def accept_connections(
    listener: MultiListener[SocketStream],
    serve_connection: Callable[[SocketStream], Awaitable[None]],
    tasks: SupervisedTasks,
    report_error: Callable[[OSError], None],
) -> None:
    """Run ``serve_connection`` for each accepted connection until cancelled.

    A process that has run out of file descriptors goes on serving its open
    connections; new ones wait in the listener's backlog until ``accept`` is retried.

    Parameters
    ----------
    listener : MultiListener
        Listening sockets.
    serve_connection : callable
        Serves one connection.
    tasks : SupervisedTasks
        Runs ``serve_connection``.
    report_error : callable
        Receives the error when a connection could not be accepted.
    """

    async def accept_from(socket_listener: SocketListener) -> None:
        while True:
            # Then accept takes a connection at once. If it is cancelled while it waits,
            # one that arrives is accepted for nobody.
            await anyio.wait_readable(socket_listener.extra(SocketAttribute.raw_socket))
            try:
                stream = await socket_listener.accept()
            except OSError as error:
                report_error(error)
                await anyio.sleep(ACCEPT_RETRY_S)
                continue
            tasks.start_soon(serve_connection, stream)

    async with anyio.create_task_group() as accept_tasks:
        for socket_listener in listener.listeners:
            accept_tasks.start_soon(accept_from, socket_listener)
