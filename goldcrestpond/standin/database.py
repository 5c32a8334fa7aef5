"""One database of the stand-in: rows in sqlite, a log, a term and a role.

Transactions are optimistic: a transaction's writes are kept aside and run again
for each of its statements, then once more at its commit, where a statement that
no longer gives the outcome its caller was told fails the commit with 40001.
"""

import sqlite3
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from ..group.database_status import DatabaseStatus
from ..group.log_position import LogPosition
from ..group.role import Role
from .database_error import DatabaseError, from_sqlite
from .log_entry import LogEntry, Write
from .result_columns import Columns
from .statement import Statement, parse_statement
from .values import oid_of_type

_REFUSED = "GT001"
_TABLE_COLUMNS = (
    "SELECT lower(m.name), lower(p.name), p.type FROM sqlite_master m"
    " JOIN pragma_table_info(m.name) p WHERE m.type IN ('table', 'view')"
)


class Outcome:
    """What a statement gave.

    Attributes
    ----------
    names : list of str
        Columns by sqlite's word; empty for a statement without rows.
    rows : list of tuple
        Rows returned.
    changed_rows : int
        Rows that the statement changed.
    """

    __slots__ = ("changed_rows", "names", "rows")

    def __init__(self, cursor: sqlite3.Cursor):
        self.rows = cursor.fetchall()
        self.names = [column[0] for column in cursor.description or ()]
        self.changed_rows = max(cursor.rowcount, 0)

    def told(self) -> tuple:
        """Return what a later run must give again."""
        return self.changed_rows, self.rows


class Database:
    """State of one database, without any I/O.

    Parameters
    ----------
    name : str
        Name within the group.
    first_entry : LogEntry
        Entry that every log of the group starts with.
    now : callable
        Returns the monotonic reading.
    """

    def __init__(self, name: str, first_entry: LogEntry, now: Callable[[], timedelta]):
        self.name = name
        self.role = Role.REPLICA
        self.term = 1
        self.fenced = False
        self.promoter = ""
        self.term_start_position = 0
        self.sending_term = 0
        self.source_address = ""
        self.log = [first_entry]
        self.unreplayed: deque[tuple[int, timedelta]] = deque()
        self.on_change: Callable[[], None] = lambda: None
        self._now = now
        self.rebuild()

    # Rows

    def rebuild(self) -> None:
        """Run the whole log into empty tables, as after a restart."""
        self._sql = sqlite3.connect(":memory:", isolation_level=None)
        self._add_functions()
        self.replayed_position = 0
        self.replay_to(len(self.log))
        self.unreplayed.clear()

    def _add_functions(self) -> None:
        self._sql.create_function("pg_sleep", 1, lambda _: "")
        self._sql.create_function("pg_advisory_unlock_all", 0, lambda: "")
        self._sql.create_function("pg_backend_pid", 0, lambda: 0)
        self._sql.create_function("version", 0, lambda: "PostgreSQL 16.0 stand-in")
        self._sql.create_function(
            "pg_is_in_recovery", 0, lambda: self.role is Role.REPLICA
        )
        self._schema_changed()

    def _schema_changed(self) -> None:
        self.tables: dict[str, Columns] = {}
        self.column_types: dict[str, int] = {}
        for table, column, kind in self._sql.execute(_TABLE_COLUMNS):
            oid = oid_of_type(kind)
            self.tables.setdefault(table, []).append((column, oid))
            self.column_types[column] = oid

    @property
    def writable(self) -> bool:
        """Whether the database takes writes."""
        return self.role is Role.PRIMARY and not self.fenced

    def run(
        self, pending: list[Write], statement: Statement, parameters: tuple
    ) -> Outcome:
        """Run a statement as its transaction sees it and change nothing for good.

        Raises
        ------
        DatabaseError
            If sqlite refuses it, or if it writes and the database does not.
        """
        if statement.writes and not self.writable:
            raise DatabaseError("25006", "cannot write: the database is read-only")
        if not statement.writes and not pending:
            return self._execute(statement, parameters)
        self._sql.execute("BEGIN")
        try:
            self._repeat(pending)
            return self._execute(statement, parameters)
        finally:
            self._sql.execute("ROLLBACK")

    def commit(self, writes: list[Write]) -> LogPosition:
        """Run the writes of a transaction for good and log them.

        Raises
        ------
        DatabaseError
            If they no longer give what their caller was told, or if the database
            no longer writes; nothing was changed then.
        """
        if not self.writable:
            raise DatabaseError("25006", "cannot commit: the database is read-only")
        self._sql.execute("BEGIN")
        try:
            self._repeat(writes)
        except DatabaseError:
            self._sql.execute("ROLLBACK")
            raise
        self._sql.execute("COMMIT")
        self.log.append(LogEntry(self.term, writes, self._now()))
        self.replayed_position = len(self.log)
        self._note_schema(writes)
        self.on_change()
        return LogPosition(self.term, len(self.log))

    def _repeat(self, writes: list[Write]) -> None:
        for write in writes:
            outcome = self._execute(write.statement, write.parameters)
            if outcome.told() != write.outcome:
                raise DatabaseError("40001", "a concurrent transaction interfered")

    def _execute(self, statement: Statement, parameters: tuple) -> Outcome:
        try:
            return Outcome(self._sql.execute(statement.sql, parameters))
        except sqlite3.Error as error:
            raise from_sqlite(error) from error

    def _note_schema(self, writes: list[Write]) -> None:
        if any(w.statement.keyword in ("CREATE", "DROP", "ALTER") for w in writes):
            self._schema_changed()

    # Replication

    def replay_to(self, position: int) -> None:
        """Make reads show the log up to ``position``."""
        for entry in self.log[self.replayed_position : position]:
            self._sql.execute("BEGIN")
            for write in entry.writes:
                self._execute(write.statement, write.parameters)
            self._sql.execute("COMMIT")
            self._note_schema(entry.writes)
        self.replayed_position = max(position, self.replayed_position)

    def receive(self, entries: list[LogEntry]) -> None:
        """Append entries of the followed primary."""
        self.log += entries
        self.unreplayed.append((len(self.log), self._now()))
        self.on_change()

    def _discard_tail(self, source: "Database") -> None:
        """Cut the log back to what the history of ``source`` holds."""
        shared = min(len(self.log), len(source.log))
        while self.log[shared - 1] is not source.log[shared - 1]:
            shared -= 1
        if shared == len(self.log):
            return
        del self.log[shared:]
        self.rebuild()

    # Terms

    def status(self) -> DatabaseStatus:
        """Return what the database says of itself."""
        return DatabaseStatus(
            database=self.name,
            role=self.role,
            term=self.term,
            position=len(self.log),
            replayed_position=self.replayed_position,
            last_entry_term=self.log[-1].term,
            term_start_position=self.term_start_position,
            fenced=self.fenced,
            promoter=self.promoter,
        )

    def fence(self, term: int, promoter: str) -> None:
        """Join ``term`` and stop writing and receiving.

        A primary goes on sending what it wrote in its own term.

        Raises
        ------
        DatabaseError
            If it joined a higher term, or this term for another promoter.
        """
        is_joined = term == self.term
        if term < self.term or (is_joined and self.promoter != promoter):
            raise DatabaseError(_REFUSED, f"joined term {self.term} before")
        if is_joined and not self.fenced:
            return
        self.term = term
        self.promoter = promoter
        self.fenced = True
        self.on_change()

    def promote(self, term: int, promoter: str) -> None:
        """Become the primary of ``term``.

        Raises
        ------
        DatabaseError
            If it is not fenced by this promoter for this term.
        """
        if (self.term, self.promoter) != (term, promoter):
            raise DatabaseError(_REFUSED, f"not fenced for term {term} by {promoter}")
        if not self.fenced and self.role is Role.PRIMARY:
            return
        if not self.fenced:
            raise DatabaseError(_REFUSED, f"follows the primary of term {term}")
        self.replay_to(len(self.log))
        self.unreplayed.clear()
        self.term_start_position = len(self.log)
        self.role = Role.PRIMARY
        self.sending_term = term
        self.fenced = False
        self.source_address = ""
        self.on_change()

    def follow(self, term: int, address: str, source: "Database | None") -> None:
        """Follow the primary of ``term`` and discard what it does not hold.

        Raises
        ------
        DatabaseError
            If it joined a higher term, is that term's primary itself, or does
            not reach a primary of the term at the address.
        """
        is_own_term = term == self.term and self.writable
        if term < self.term or is_own_term or source is self:
            raise DatabaseError(_REFUSED, f"{self.role} of term {self.term}")
        if source is None or source.term != term or not source.writable:
            raise DatabaseError(_REFUSED, f"no primary of term {term} at {address}")
        self._discard_tail(source)
        self.term = term
        self.role = Role.REPLICA
        self.sending_term = 0
        self.fenced = False
        self.promoter = source.promoter
        self.term_start_position = source.term_start_position
        self.source_address = address
        self.on_change()


def make_first_entry(schema: list[str], now: timedelta) -> LogEntry:
    """Return the entry that every log of a group starts with."""
    writes = [Write(parse_statement(sql), (), (0, [])) for sql in schema]
    return LogEntry(1, writes, now)
