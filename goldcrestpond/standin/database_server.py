"""Serves one database to clients: listener, connections, slots and faults."""

import itertools
from collections.abc import Callable
from datetime import timedelta

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskStatus

from ..clock.clock import Clock
from ..settings.address import Address
from ..wire.scram_verifier import make_verifier
from .connection import ConnectionLost, ServerConnection
from .database import Database
from .database_error import DatabaseError
from .database_group_settings import DatabaseGroupSettings
from .faults import Faults


class DatabaseServer:
    """Server of one database, with its limits and injected faults.

    Parameters
    ----------
    database : Database
        State of the database.
    address : Address
        Where to listen; port 0 is replaced by the port that was bound.
    settings : DatabaseGroupSettings
        Limits and delays.
    clock : Clock
        Source of time.
    run_control_function : callable
        Runs a control function, given this server and the function's name and
        arguments.

    Attributes
    ----------
    max_open_connections : int
        Highest number of connections that were open at once.
    verifier : ScramVerifier or None
        Verifies the clients' password; None disables authentication.
    last_statement_at : timedelta or None
        Monotonic time at which the last statement began; statements about the
        group and about session settings are not counted.
    """

    def __init__(
        self,
        database: Database,
        address: Address,
        settings: DatabaseGroupSettings,
        clock: Clock,
        run_control_function: Callable[["DatabaseServer", str, tuple], None],
    ):
        self.database = database
        self.address = address
        self.settings = settings
        self.clock = clock
        self.run_control_function = run_control_function
        self.faults = Faults(
            statement_delay_ms=settings.statement_delay_ms,
            receive_delay_ms=settings.receive_delay_ms,
            replay_lag_ms=settings.replay_lag_ms,
        )
        self.verifier = make_verifier(settings.password) if settings.password else None
        self.slots = anyio.Semaphore(settings.slot_limit)
        self.connections: dict[int, ServerConnection] = {}
        self.max_open_connections = 0
        self.last_statement_at: timedelta | None = None
        self.changed = anyio.Event()
        self.stopped = anyio.Event()
        database.on_change = self.notify_change
        self._process_ids = itertools.count(1)
        self._scope: anyio.CancelScope | None = None

    @property
    def name(self) -> str:
        """Name of the database."""
        return self.database.name

    @property
    def is_running(self) -> bool:
        """Whether the server was started and has not been killed since."""
        return self._scope is not None

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change of this database."""
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED):
        """Accept and serve connections until killed or cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.host, local_port=self.address.port
        )
        port = listener.extra(SocketAttribute.local_port)
        self.address = Address(self.address.host, port)
        stopped = self.stopped = anyio.Event()
        try:
            with anyio.CancelScope() as self._scope:
                async with listener:
                    task_status.started()
                    await listener.serve(self._serve)
        finally:
            stopped.set()

    def kill(self) -> None:
        """Stop immediately and close all connections."""
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None

    def freeze(self) -> None:
        """Make the currently open connections permanently unresponsive."""
        for connection in self.connections.values():
            connection.is_frozen = True
        self.connections.clear()

    async def _serve(self, stream: SocketStream) -> None:
        process_id = next(self._process_ids)
        connection = ServerConnection(self, stream, process_id)
        try:
            async with stream:
                if not self.faults.refuse:
                    await connection.serve()
        except (anyio.BrokenResourceError, anyio.EndOfStream, ConnectionLost):
            pass
        finally:
            self.connections.pop(process_id, None)

    def register_connection(self, connection: "ServerConnection") -> None:
        """Add a connection to those that count towards the limit.

        Raises
        ------
        DatabaseError
            If the connection limit is reached.
        """
        if len(self.connections) >= self.settings.connection_limit:
            raise DatabaseError("53300", "sorry, too many clients already")
        self.connections[connection.process_id] = connection
        self.max_open_connections = max(
            self.max_open_connections, len(self.connections)
        )

    def cancel(self, process_id: int, secret_key: bytes) -> None:
        """Cancel the running statement of a connection, if the key matches."""
        connection = self.connections.get(process_id)
        if connection and connection.secret_key == secret_key:
            connection.cancel()
