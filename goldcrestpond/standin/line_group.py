"""Replicated databases behind the line protocol: logs, terms and replication."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..group.log_position import LogPosition
from ..group.role import Role

# Time for which a replica that was rolled back refuses statements.
ROLLBACK_TIME = timedelta(milliseconds=100)


class LeadLost(Exception):
    """The database crashed or lost the lead before a commit was acknowledged."""


@dataclass(frozen=True, slots=True)
class LineEntry:
    """Log entry of one commit: its position and its (item, data) writes."""

    position: LogPosition
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class AcknowledgedCommit:
    """A commit that a database acknowledged, and its monotonic time then."""

    entry: LineEntry
    database_id: str
    acknowledged_at: timedelta


@dataclass(frozen=True, slots=True)
class LinePromotion:
    """A promotion that took effect.

    Attributes
    ----------
    database_id : str
        Id of the new primary.
    term : int
        Its term.
    end : LogPosition
        Position of the last entry of its log.
    lost : tuple of AcknowledgedCommit
        Acknowledged commits that its log lacks.
    holders : tuple of str
        Ids of the other databases whose logs have the first of these commits.
    """

    database_id: str
    term: int
    end: LogPosition
    lost: tuple[AcknowledgedCommit, ...]
    holders: tuple[str, ...]


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
    replicated_count : int
        Number of its log entries, as the primary, that a replica has received.
    paused_term : int
        Term for which replication to this database is paused; 0 if it is not.
    is_cut_off : bool
        Whether nothing is replicated to it, nor from it while it is the primary.
    is_replay_paused : bool
        Whether it receives entries without applying them.
    is_running : bool
        Whether it accepts connections.
    is_draining : bool
        Whether it reports that it will end.
    replication_delay_s : float
        Time that a commit takes to reach it.
    current_at : timedelta
        Time at which the data that its reads show was the newest.
    busy_until : timedelta
        Time until which it refuses statements.
    born_ms : int
        Wall time of its start in Unix ms.
    sequence : int
        Number of the last registry entry that it wrote.
    connection_count : int
        Number of open connections.
    running_count : int
        Number of statements that it runs.
    """

    database_id: str
    role: Role
    term: int = 1
    log: list[LineEntry] = field(default_factory=list)
    applied_count: int = 0
    replicated_count: int = 0
    paused_term: int = 0
    is_cut_off: bool = False
    is_replay_paused: bool = False
    is_running: bool = True
    is_draining: bool = False
    replication_delay_s: float = 0.0
    current_at: timedelta = timedelta(0)
    busy_until: timedelta = timedelta(0)
    born_ms: int = 0
    sequence: int = 1
    connection_count: int = 0
    running_count: int = 0

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
        for index in range(self.applied_count - 1, -1, -1):
            for name, data in reversed(self.log[index].writes):
                if name == item:
                    return data
        return "-"

    def has_entry(self, entry: LineEntry) -> bool:
        """Return whether the log has an entry; numbers rise by one from 1."""
        index = entry.position.position - 1
        return index < len(self.log) and self.log[index] is entry


class LineGroup:
    """A primary and its replicas, with semi-synchronous replication.

    A commit is acknowledged once at least one replica has received it.

    Parameters
    ----------
    service : str
        Name of the service.
    database_ids : sequence of str
        Ids of the databases; the first one starts as the primary.
    clock : Clock or None
        Source of the time; None for the system's.

    Attributes
    ----------
    databases : dict of str to LineDatabase
        Databases by id, including crashed ones.
    lost_acknowledged : list of LineEntry
        Acknowledged commits that a promotion has lost.
    executions : list of tuple
        Database id, request id and kind (``READ``, ``WRITE`` or ``COMMIT``) of each
        statement that ran.
    callers : dict of str to str
        Name of who connected, by the id of each request that ran.
    draw_work_s : callable
        Returns the time in seconds that the next read or write takes.
    """

    def __init__(
        self, service: str, database_ids: list[str], clock: Clock | None = None
    ):
        self.service = service
        self.clock = clock or SystemClock()
        self.databases: dict[str, LineDatabase] = {}
        for database_id in database_ids:
            role = Role.REPLICA if self.databases else Role.PRIMARY
            self._put(LineDatabase(database_id, role))
        self.lost_acknowledged: list[LineEntry] = []
        self.executions: list[tuple[str, str, str]] = []
        self.callers: dict[str, str] = {}
        self.draw_work_s: Callable[[], float] = lambda: 0.0
        self._acknowledged: list[AcknowledgedCommit] = []
        self._change_event = asyncio.Event()

    @property
    def primary(self) -> LineDatabase:
        """The database with the primary role."""
        return next(d for d in self.databases.values() if d.role is Role.PRIMARY)

    def find_primary(self) -> LineDatabase | None:
        """Return the database with the primary role; None after it stepped down."""
        primaries = (d for d in self.databases.values() if d.role is Role.PRIMARY)
        return next(primaries, None)

    def newest_term(self) -> int:
        """Return the newest term that any database knows."""
        return max(d.term for d in self.databases.values())

    def replicate(self) -> None:
        """Send the primary's log to every replica that can receive it."""
        primary = self.find_primary()
        if primary is None:
            return
        now = self.clock.now()
        for replica in list(self.databases.values()):
            if replica is primary:
                continue
            sent = (primary, replica, len(primary.log), now)
            if replica.replication_delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(replica.replication_delay_s, self._deliver, *sent)
            else:
                self._deliver(*sent)

    async def commit(
        self, database: LineDatabase, writes: list[tuple[str, str]]
    ) -> LineEntry:
        """Append a commit and wait until a replica has received it.

        Raises
        ------
        LeadLost
            If the database crashes or loses the lead before; the commit stays in its
            log.
        """
        number = database.received_position.position + 1
        entry = LineEntry(LogPosition(database.term, number), tuple(writes))
        database.log.append(entry)
        database.applied_count = len(database.log)
        self.replicate()
        while True:
            if database.role is not Role.PRIMARY or not database.is_running:
                raise LeadLost
            if database.replicated_count >= number:
                break
            await self._change_event.wait()
        now = self.clock.now()
        acknowledged = AcknowledgedCommit(entry, database.database_id, now)
        self._acknowledged.append(acknowledged)
        return entry

    def promote(self, database_id: str) -> LinePromotion | None:
        """Make a database the primary of the next term, with its present log.

        Acknowledged commits that its log lacks are added to ``lost_acknowledged``.
        Returns None if it is the primary or isn't running: nothing changes then.
        """
        candidate = self.databases.get(database_id)
        if candidate is None or not candidate.is_running:
            return None
        if candidate.role is Role.PRIMARY:
            return None
        term = 1 + self.newest_term()
        lost = tuple(c for c in self._acknowledged if not candidate.has_entry(c.entry))
        lost_entries = {c.entry for c in lost}
        self._acknowledged = [
            c for c in self._acknowledged if c.entry not in lost_entries
        ]
        self.lost_acknowledged += [c.entry for c in lost]
        holders = tuple(
            i for i, d in self.databases.items() if lost and d.has_entry(lost[0].entry)
        )
        for database in self.databases.values():
            database.role = Role.REPLICA
            database.paused_term = 0
        candidate.role = Role.PRIMARY
        candidate.term = term
        candidate.is_cut_off = False
        candidate.applied_count = len(candidate.log)
        candidate.replicated_count = 0
        self.replicate()
        self._notify_change()
        end = candidate.received_position
        return LinePromotion(database_id, term, end, lost, holders)

    def step_down(self, database: LineDatabase, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if database.role is Role.PRIMARY and database.term < term:
            database.role = Role.REPLICA
            self._notify_change()

    def crash(self, database_id: str) -> None:
        """Stop a database; nothing else learns of it."""
        self.databases[database_id].is_running = False
        self._notify_change()

    def restart(self, database_id: str, new_id: str) -> LineDatabase:
        """Start a crashed database under a new id, with its log.

        It is the primary again, unless another one was promoted meanwhile.
        """
        crashed = self.databases.pop(database_id)
        restarted = self._put(LineDatabase(new_id, crashed.role, crashed.term))
        restarted.log = list(crashed.log)
        restarted.applied_count = len(crashed.log)
        restarted.current_at = crashed.current_at
        restarted.replication_delay_s = crashed.replication_delay_s
        self.replicate()
        return restarted

    def add_replica(self, database_id: str, copy_s: float) -> LineDatabase:
        """Add a replica without a log, which receives after ``copy_s``."""
        replica = self._put(LineDatabase(database_id, Role.REPLICA))
        replica.is_cut_off = True

        def end_copy() -> None:
            replica.is_cut_off = False
            self.replicate()

        asyncio.get_running_loop().call_later(copy_s, end_copy)
        return replica

    def remove(self, database_id: str) -> None:
        """Remove a replica that is gone for good, with its log."""
        self.databases.pop(database_id).is_running = False

    def compute_lag_ms(self, database: LineDatabase) -> int:
        """Return the age in milliseconds of the data that a database's reads show."""
        primary = self.find_primary()
        if database is primary:
            return 0
        now = self.clock.now()
        is_fed = primary is not None and self._can_send(primary)
        if is_fed and self._can_receive(database):
            if database.applied_count == len(primary.log):
                database.current_at = now
        return int((now - database.current_at) / timedelta(milliseconds=1))

    def _put(self, database: LineDatabase) -> LineDatabase:
        database.born_ms = int(self.clock.wall().timestamp() * 1000)
        database.current_at = self.clock.now()
        self.databases[database.database_id] = database
        return database

    def _can_send(self, primary: LineDatabase) -> bool:
        is_primary = primary.role is Role.PRIMARY
        return is_primary and primary.is_running and not primary.is_cut_off

    def _can_receive(self, replica: LineDatabase) -> bool:
        return replica.is_running and not replica.paused_term and not replica.is_cut_off

    def _deliver(
        self,
        primary: LineDatabase,
        replica: LineDatabase,
        count: int,
        sent_at: timedelta,
    ) -> None:
        if not (self._can_send(primary) and self._can_receive(replica)):
            return
        if self._copy_log(primary, replica, count):
            replica.busy_until = self.clock.now() + ROLLBACK_TIME
        replica.term = max(replica.term, primary.term)
        replica.applied_count = min(replica.applied_count, len(replica.log))
        if not replica.is_replay_paused:
            replica.applied_count = len(replica.log)
            replica.current_at = max(sent_at, replica.current_at)
        primary.replicated_count = max(primary.replicated_count, count)
        self._notify_change()

    def _copy_log(
        self, primary: LineDatabase, replica: LineDatabase, count: int
    ) -> bool:
        """Copy ``count`` entries; return whether others had to be rolled back."""
        kept = min(len(replica.log), len(primary.log))
        while kept and replica.log[kept - 1] is not primary.log[kept - 1]:
            kept -= 1
        is_rolled_back = kept < len(replica.log)
        del replica.log[kept:]
        replica.log += primary.log[kept:count]
        return is_rolled_back

    def _notify_change(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()
