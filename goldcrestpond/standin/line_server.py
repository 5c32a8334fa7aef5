"""Serves the databases of a `LineGroup` in the line protocol on loopback."""

from collections.abc import Callable

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from ..settings.address import Address
from .line_group import LeadLost, LineDatabase, LineGroup
from .line_session import LineSession

LOOPBACK = "127.0.0.1"
_CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class LineServer:
    """Server of a group, with one listener for each database.

    Parameters
    ----------
    group : LineGroup
        The group of databases.

    Attributes
    ----------
    addresses : dict of str to Address
        Listening address of each database.
    connected : list of tuple
        Database and the name of who connects, of each connection accepted.
    should_lose_answer : callable
        Called with the text of each query after it ran; if it returns True, the
        answer is not sent.
    """

    def __init__(self, group: LineGroup):
        self.group = group
        self.addresses: dict[str, Address] = {}
        self.should_lose_answer: Callable[[str], bool] = lambda text: False
        self.connected: list[tuple[str, str]] = []
        self._streams: dict[str, set[SocketStream]] = {}
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start listening for every database."""
        self._tasks = tasks
        for database in self.group.databases.values():
            await self.add(database)

    async def add(self, database: LineDatabase) -> Address:
        """Start listening for one database and return its address."""
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        address = Address(LOOPBACK, port)
        self.addresses[database.database_id] = address
        self._streams[database.database_id] = set()
        self._tasks.start_soon(listener.serve, self._make_handler(database))
        return address

    async def crash(self, database_id: str) -> None:
        """Stop a database: close its connections and refuse new ones."""
        self.group.crash(database_id)
        for stream in list(self._streams[database_id]):
            await anyio.aclose_forcefully(stream)

    def _make_handler(self, database: LineDatabase) -> Callable:
        async def serve_connection(stream: SocketStream) -> None:
            streams = self._streams[database.database_id]
            streams.add(stream)
            database.connection_count += 1
            try:
                if database.is_running:
                    await self._serve(database, stream)
            except _CONNECTION_ERRORS:
                pass  # the proxy disconnected
            except LeadLost:
                pass  # nothing is known of the commit: it gets no answer
            finally:
                database.connection_count -= 1
                streams.discard(stream)
                await anyio.aclose_forcefully(stream)

        return serve_connection

    async def _serve(self, database: LineDatabase, stream: SocketStream) -> None:
        session = LineSession(self.group, database)
        data = b""
        while True:
            data += await stream.receive()
            while b"\r\n" in data:
                line, _, data = data.partition(b"\r\n")
                if not await self._answer_line(
                    database, session, stream, line.decode()
                ):
                    return

    async def _answer_line(
        self,
        database: LineDatabase,
        session: LineSession,
        stream: SocketStream,
        line: str,
    ) -> bool:
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            fields = rest.split(" ")
            if fields[0] != self.group.service or fields[2:] != [database.database_id]:
                await stream.send(b"ERROR WRONGNODE another\r\n")
                return False
            self.connected.append((database.database_id, fields[1]))
            session.caller = fields[1]
            position = database.visible_position
            await stream.send(
                f"READY I {position.term}.{position.position}\r\n".encode()
            )
            return True
        if word != "QUERY":
            return False
        request_id, _, text = rest.partition(" ")
        lines = await session.answer(request_id, text)
        if not self.should_lose_answer(text):
            await stream.send("".join(f"{one}\r\n" for one in lines).encode())
        return True
