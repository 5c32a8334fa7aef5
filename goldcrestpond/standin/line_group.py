"""Replicated databases behind the line protocol: logs, terms and replication."""

import asyncio
from dataclasses import dataclass, field

from ..group.log_position import LogPosition
from ..group.role import Role


@dataclass(frozen=True, slots=True)
class LineEntry:
    """Log entry of one commit: its position and its (item, data) writes."""

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class LineDatabase:
    """State of one database.

    Attributes
    ----------
    database_id : str
        Id of the database.
    role : Role
        Present role.
    term : int
        Highest term that the database knows.
    log : list of LineEntry
        Entries that it has received or written.
    applied_count : int
        Number of log entries that reads show.
    paused_term : int
        Term for which replication to this database is paused; 0 if it is not.
    is_cut_off : bool
        Whether nothing is replicated to it, nor from it while it is the primary.
    is_replay_paused : bool
        Whether it receives entries without applying them.
    is_running : bool
        Whether it accepts connections.
    """

    database_id: str
    role: Role
    term: int = 1
    log: list[LineEntry] = field(default_factory=list)
    applied_count: int = 0
    paused_term: int = 0
    is_cut_off: bool = False
    is_replay_paused: bool = False
    is_running: bool = True

    @property
    def received_position(self) -> LogPosition:
        """Position of the last entry in the log."""
        return self.log[-1].position if self.log else LogPosition(1, 0)

    @property
    def visible_position(self) -> LogPosition:
        """Position of the last entry that reads show."""
        return (
            self.log[self.applied_count - 1].position
            if self.applied_count
            else LogPosition(1, 0)
        )

    def read(self, item: str) -> str:
        """Return the newest applied value of an item, "-" if it has none."""
        for entry in reversed(self.log[: self.applied_count]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "-"


class LineGroup:
    """A primary and its replicas, with semi-synchronous replication.

    A commit is acknowledged once at least one replica has received it.

    Parameters
    ----------
    service : str
        Name of the service.
    database_ids : sequence of str
        Ids of the databases; the first one starts as the primary.

    Attributes
    ----------
    databases : dict of str to LineDatabase
        Databases by id.
    lost_acknowledged : list of LineEntry
        Acknowledged commits that a promotion has lost.
    executions : list of tuple
        Database id, request id and kind (``READ``, ``WRITE`` or ``COMMIT``) of each
        statement that ran.
    callers : dict of str to str
        Name of who connected, by the id of each request that ran.
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
        self.callers: dict[str, str] = {}
        self._acknowledged: list[LineEntry] = []
        self._receipt_event = asyncio.Event()

    @property
    def primary(self) -> LineDatabase:
        """The database with the primary role."""
        return next(d for d in self.databases.values() if d.role is Role.PRIMARY)

    def replicate(self) -> None:
        """Send the primary's log to every replica that can receive it."""
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
                replica.applied_count = len(replica.log)
        self._receipt_event.set()
        self._receipt_event = asyncio.Event()

    async def commit(
        self, database: LineDatabase, writes: list[tuple[str, str]]
    ) -> LineEntry:
        """Append a commit and wait until a replica has received it."""
        number = database.received_position.position + 1
        entry = LineEntry(LogPosition(database.term, number), tuple(writes))
        database.log.append(entry)
        database.applied_count = len(database.log)
        self.replicate()
        while not self._is_replicated(database, entry):
            await self._receipt_event.wait()
        self._acknowledged.append(entry)
        return entry

    def promote(self, database_id: str) -> None:
        """Make a database the primary of the next term, with its present log.

        Acknowledged commits that its log lacks are added to ``lost_acknowledged``.
        """
        candidate = self.databases[database_id]
        if candidate.role is Role.PRIMARY:
            return
        term = 1 + max(d.term for d in self.databases.values())
        candidate_entries = set(candidate.log)
        self.lost_acknowledged += [
            e for e in self._acknowledged if e not in candidate_entries
        ]
        for database in self.databases.values():
            database.role = Role.REPLICA
            database.paused_term = 0
        candidate.role = Role.PRIMARY
        candidate.term = term
        candidate.is_cut_off = False
        candidate.applied_count = len(candidate.log)
        self.replicate()

    def _is_replicated(self, database: LineDatabase, entry: LineEntry) -> bool:
        others = (d for d in self.databases.values() if d is not database)
        # Search from the newest entry: the commit was appended a moment ago.
        return any(entry in reversed(other.log) for other in others)
