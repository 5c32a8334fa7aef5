"""Databases of the platform's kind, in memory: logs, terms and replication."""

import asyncio
from dataclasses import dataclass, field

from ..group.log_position import LogPosition
from ..group.role import Role


@dataclass(frozen=True, slots=True)
class LineEntry:
    """One commit in a log."""

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class LineDatabase:
    """State of one database.

    Attributes
    ----------
    database_id : str
        Its id.
    role : Role
        Its role.
    term : int
        Newest term that it knows.
    log : list of LineEntry
        What it has received.
    applied : int
        Entries that its reads show.
    paused_term : int
        Term for which it has stopped receiving; 0 if it receives.
    is_cut_off : bool
        Whether it gets nothing from the primary.
    is_replay_paused : bool
        Whether it receives without applying.
    is_running : bool
        Whether it takes connections.
    """

    database_id: str
    role: Role
    term: int = 1
    log: list[LineEntry] = field(default_factory=list)
    applied: int = 0
    paused_term: int = 0
    is_cut_off: bool = False
    is_replay_paused: bool = False
    is_running: bool = True

    @property
    def received(self) -> LogPosition:
        """Position of the last entry received."""
        return self.log[-1].position if self.log else LogPosition(1, 0)

    @property
    def shown(self) -> LogPosition:
        """Position of the last entry that reads show."""
        return (
            self.log[self.applied - 1].position if self.applied else LogPosition(1, 0)
        )

    def read(self, item: str) -> str:
        """Return the newest value of an item."""
        for entry in reversed(self.log[: self.applied]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "-"


class LineGroup:
    """A primary and its replicas; a commit needs one replica's receipt.

    Parameters
    ----------
    service : str
        Name of the service.
    database_ids : sequence of str
        Ids; the first one leads.
    """

    def __init__(self, service: str, database_ids: list[str]):
        self.service = service
        self.databases = {
            database_id: LineDatabase(
                database_id, Role.REPLICA if index else Role.PRIMARY
            )
            for index, database_id in enumerate(database_ids)
        }
        self.lost_acknowledged: list[LineEntry] = []
        self.executions: list[tuple[str, str, str]] = []
        self._acknowledged: list[LineEntry] = []
        self._received = asyncio.Event()

    @property
    def primary(self) -> LineDatabase:
        """The database that leads."""
        return next(d for d in self.databases.values() if d.role is Role.PRIMARY)

    def replicate(self) -> None:
        """Send the primary's log to every replica that receives."""
        primary = self.primary
        if not primary.is_running or primary.is_cut_off:
            return
        for replica in self.databases.values():
            if replica is primary or not replica.is_running:
                continue
            if replica.paused_term or replica.is_cut_off:
                continue
            replica.log = list(primary.log)
            replica.term = max(replica.term, primary.term)
            if not replica.is_replay_paused:
                replica.applied = len(replica.log)
        self._received.set()
        self._received = asyncio.Event()

    async def commit(
        self, database: LineDatabase, writes: list[tuple[str, str]]
    ) -> LineEntry:
        """Append a commit and wait until a replica has received it."""
        number = database.received.position + 1
        entry = LineEntry(LogPosition(database.term, number), tuple(writes))
        database.log.append(entry)
        database.applied = len(database.log)
        self.replicate()
        while not self._is_received(database, entry):
            await self._received.wait()
        self._acknowledged.append(entry)
        return entry

    def promote(self, database_id: str) -> None:
        """Let a database lead the next term with what it has received."""
        candidate = self.databases[database_id]
        if candidate.role is Role.PRIMARY:
            return
        term = 1 + max(d.term for d in self.databases.values())
        held = set(candidate.log)
        self.lost_acknowledged += [e for e in self._acknowledged if e not in held]
        for database in self.databases.values():
            database.role = Role.REPLICA
            database.paused_term = 0
        candidate.role = Role.PRIMARY
        candidate.term = term
        candidate.is_cut_off = False
        candidate.applied = len(candidate.log)
        self.replicate()

    def _is_received(self, database: LineDatabase, entry: LineEntry) -> bool:
        others = (d for d in self.databases.values() if d is not database)
        # Newest first: a commit is asked for right after it was appended.
        return any(entry in reversed(other.log) for other in others)
