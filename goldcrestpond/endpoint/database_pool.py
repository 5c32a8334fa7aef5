"""Connections to one database, lent one transaction at a time."""

from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .endpoint_connection import EndpointConnection

OpenConnection = Callable[[], Awaitable[EndpointConnection]]


class DatabasePool:
    """Connections to one database.

    Parameters
    ----------
    open_connection : callable
        Opens one connection.
    connection_limit : int
        Connections that this pool may hold.
    clock : Clock
        Source of monotonic readings.
    """

    __slots__ = ("_clock", "_idle", "_open", "_open_connection", "_slots")

    def __init__(
        self, open_connection: OpenConnection, connection_limit: int, clock: Clock
    ):
        self._open_connection = open_connection
        self._clock = clock
        self._slots = anyio.Semaphore(connection_limit, fast_acquire=True)
        self._idle: deque[EndpointConnection] = deque()

    async def acquire(self, term: int, deadline: timedelta) -> EndpointConnection:
        """Lend a connection that was opened under ``term``.

        Parameters
        ----------
        term : int
            Term of the group as the caller of this method knows it.
        deadline : timedelta
            Monotonic reading at which to give up.

        Raises
        ------
        CodedError
            QUEUE_DEADLINE or ENDPOINT_UNREACHABLE; nothing was sent.
        """
        with anyio.move_on_after((deadline - self._clock.now()).total_seconds()):
            await self._slots.acquire()
            try:
                connection = await self._take_idle(term)
                return connection or await self._open_connection()
            except BaseException:
                self._slots.release()
                raise
        raise CodedError(ResultCode.QUEUE_DEADLINE)

    def release(self, connection: EndpointConnection) -> None:
        """Take a connection back; a broken one is dropped."""
        self._slots.release()
        if not connection.is_broken:
            self._idle.append(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _take_idle(self, term: int) -> EndpointConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_quiet() and connection.term == term:
                return connection
            await connection.aclose()
        return None
