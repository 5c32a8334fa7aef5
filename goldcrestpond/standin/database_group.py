"""Runs a group of databases in this process, with asynchronous replication."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..group.role import Role
from ..settings.address import parse_address
from .database import Database, make_first_entry
from .database_error import DatabaseError
from .database_group_settings import DatabaseGroupSettings
from .database_server import DatabaseServer
from .log_entry import LogEntry

_PRIMARY_TIMEOUT_S = 20.0  # far longer than a promotion takes
_PRIMARY_POLL_INTERVAL_S = 0.01


class DatabaseGroup:
    """A running group of databases, with faults that can be injected.

    Parameters
    ----------
    settings : DatabaseGroupSettings
        Members, limits and delays.
    clock : Clock
        Source of time.
    tasks : TaskGroup
        Runs the listeners and replication.
    """

    def __init__(self, settings: DatabaseGroupSettings, clock: Clock, tasks: TaskGroup):
        self._clock = clock
        self._tasks = tasks
        first_entry = make_first_entry(settings.schema, clock.now())
        self.databases = [
            DatabaseServer(
                Database(entry.name, first_entry, clock.now),
                parse_address(entry.address),
                settings,
                clock,
                self._run_control_function,
            )
            for entry in settings.databases
        ]

    def get_server(self, name: str) -> DatabaseServer:
        """Return the database with this name."""
        for server in self.databases:
            if server.name == name:
                return server
        raise DatabaseError("22023", f"no database is named {name!r}")

    async def start(self) -> None:
        """Open all listeners; the first database is the primary."""
        for server in self.databases:
            await self._tasks.start(server.run)
        first = self.databases[0]
        first.database.role = Role.PRIMARY
        first.database.sending_term = first.database.term
        first.database.term_start_position = 1
        for server in self.databases[1:]:
            server.database.follow(1, str(first.address), first.database)
        for server in self.databases:
            self._tasks.start_soon(self._replicate, server)

    def primary(self) -> DatabaseServer:
        """Return the writable database with the highest term."""
        writers = [s for s in self.databases if s.database.writable]
        return max(writers, key=lambda server: server.database.term)

    async def wait_primary(self) -> DatabaseServer:
        """Return the primary, waiting while a failover is in progress.

        Raises
        ------
        TimeoutError
            If there is no primary within `_PRIMARY_TIMEOUT_S`.
        """
        with anyio.fail_after(_PRIMARY_TIMEOUT_S):
            while not any(s.database.writable for s in self.databases):
                await anyio.sleep(_PRIMARY_POLL_INTERVAL_S)
        return self.primary()

    # Faults

    def kill(self, name: str) -> None:
        """Stop a database immediately; its log is kept."""
        self.get_server(name).kill()

    async def restart(self, name: str) -> None:
        """Restart a killed database from its log, in its last role and term."""
        server = self.get_server(name)
        if server.is_running:
            return
        await server.stopped.wait()
        server.database.rebuild()
        await self._tasks.start(server.run)

    def partition(self, name: str, *, peers: bool = True, callers: bool = False):
        """Partition a database from peers or callers; both False heals it."""
        server = self.get_server(name)
        server.faults.partition_peers = peers
        server.faults.partition_callers = callers
        server.notify_change()

    def freeze(self, name: str) -> None:
        """Make the open connections of a database permanently unresponsive."""
        self.get_server(name).freeze()

    def set_fault(self, default: str, name: str, value: str) -> None:
        """Set a fault from text, as ``SELECT standin_fault('name', 'value')`` does.

        Parameters
        ----------
        default : str
            Database to use if ``name`` contains none.
        name : str
            ``FAULT`` or ``DATABASE.FAULT``; a field of ``Faults``, ``kill``,
            ``restart`` or ``freeze``.
        value : str
            Value of the fault; ignored for ``kill``, ``restart`` and ``freeze``.
        """
        database, _, fault = name.rpartition(".")
        server = self.get_server(database or default)
        if fault == "kill":
            server.kill()
        elif fault == "restart":
            self._tasks.start_soon(self.restart, server.name)
        elif fault == "freeze":
            server.freeze()
        else:
            server.faults.set(fault, value)
            server.notify_change()

    # Terms

    def _run_control_function(
        self, server: DatabaseServer, name: str, values: tuple
    ) -> None:
        if len(values) != 2:
            raise DatabaseError("42883", f"{name} takes two arguments")
        first, second = values
        if name == "standin_fault":
            self.set_fault(server.name, str(first), str(second))
        elif name == "group_fence":
            server.database.fence(int(first), str(second))
        elif name == "group_promote":
            server.database.promote(int(first), str(second))
        else:
            source = self._find_reachable(server, str(second))
            database = source.database if source else None
            server.database.follow(int(first), str(second), database)

    def _find_reachable(
        self, server: DatabaseServer, address: str
    ) -> DatabaseServer | None:
        for peer in self.databases:
            if str(peer.address) == address and peer.is_running:
                is_partitioned = (
                    server.faults.partition_peers or peer.faults.partition_peers
                )
                return None if is_partitioned else peer
        return None

    # Replication

    async def _replicate(self, server: DatabaseServer) -> None:
        while True:
            source = self._find_source(server)
            changes = [peer.changed for peer in self.databases]
            wait_s = self._receive_due_entries(server, source) if source else math.inf
            wait_s = min(wait_s, self._replay_due_entries(server))
            with anyio.move_on_after(max(wait_s, 0.0)):
                await _wait_any(changes)

    def _find_source(self, server: DatabaseServer) -> DatabaseServer | None:
        database = server.database
        if database.fenced or database.role is Role.PRIMARY or not server.is_running:
            return None
        source = self._find_reachable(server, database.source_address)
        if source is None or source.database.sending_term != database.term:
            return None
        return source

    def _receive_due_entries(
        self, server: DatabaseServer, source: DatabaseServer
    ) -> float:
        """Receive the entries that are due; return the seconds until the next."""
        delay = timedelta(milliseconds=server.faults.receive_delay_ms)
        now = self._clock.now()
        missing = source.database.log[len(server.database.log) :]
        due: list[LogEntry] = []
        wait_s = math.inf
        for entry in missing:
            if entry.committed_at + delay > now:
                wait_s = (entry.committed_at + delay - now).total_seconds()
                break
            due.append(entry)
        if due:
            server.database.receive(due)
        return wait_s

    def _replay_due_entries(self, server: DatabaseServer) -> float:
        """Replay the entries that are due; return the seconds until the next."""
        lag = timedelta(milliseconds=server.faults.replay_lag_ms)
        unreplayed = server.database.unreplayed
        now = self._clock.now()
        while unreplayed:
            position, received_at = unreplayed[0]
            if received_at + lag > now:
                return (received_at + lag - now).total_seconds()
            unreplayed.popleft()
            server.database.replay_to(position)
        return math.inf


async def _wait_any(events: list[anyio.Event]) -> None:
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)


@asynccontextmanager
async def run_database_group(
    settings: DatabaseGroupSettings, clock: Clock
) -> AsyncIterator[DatabaseGroup]:
    """Run a group of databases until the context ends."""
    async with anyio.create_task_group() as tasks:
        group = DatabaseGroup(settings, clock, tasks)
        await group.start()
        yield group
        tasks.cancel_scope.cancel()
