"""One database of the stand-in: rows in sqlite, a log, a term and a role.

Concurrency control is optimistic. The writes of an open transaction are buffered;
each of its statements runs them again, reads their effect and rolls back. The commit
runs them once more and fails with SQLSTATE 40001 if a statement's outcome differs
from the one that was returned to the client.
"""

import sqlite3
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from ..group.database_status import DatabaseStatus
from ..group.log_position import LogPosition
from ..group.role import Role
from .database_error import DatabaseError, translate_sqlite_error
from .log_entry import LogEntry, Write
from .result_columns import Columns
from .statement import Statement, parse_statement
from .values import get_type_oid

_TERM_ERROR_SQLSTATE = "GT001"
_SELECT_TABLE_COLUMNS = (
    "SELECT lower(m.name), lower(p.name), p.type FROM sqlite_master m"
    " JOIN pragma_table_info(m.name) p WHERE m.type IN ('table', 'view')"
)


class Outcome:
    """Result of a statement that sqlite ran.

    Attributes
    ----------
    names : list of str
        Column names from sqlite; empty for a statement that returns no rows.
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

    def to_comparable(self) -> tuple:
        """Return the parts that a repeated run must reproduce."""
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
        Returns the monotonic time.

    Attributes
    ----------
    fenced : bool
        Whether it accepts no writes and receives no entries.
    promoter : str
        Promoter for which it joined its term; on a follower, that of its primary.
    sending_term : int
        Term in which it sends its log to followers; 0 for a replica.
    source_address : str
        Address of the primary that it follows; empty for none.
    unreplayed : deque of tuple
        Position and time of each receipt that reads do not show yet.
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
        """Replay the whole log into empty tables, as after a restart."""
        self._sqlite = sqlite3.connect(":memory:", isolation_level=None)
        self._add_functions()
        self.replayed_position = 0
        self.replay_to(len(self.log))
        self.unreplayed.clear()

    def _add_functions(self) -> None:
        self._sqlite.create_function("pg_sleep", 1, lambda _: "")
        self._sqlite.create_function("pg_advisory_unlock_all", 0, lambda: "")
        self._sqlite.create_function("pg_backend_pid", 0, lambda: 0)
        self._sqlite.create_function("version", 0, lambda: "PostgreSQL 16.0 stand-in")
        self._sqlite.create_function(
            "pg_is_in_recovery", 0, lambda: self.role is Role.REPLICA
        )
        self._load_schema()

    def _load_schema(self) -> None:
        self.tables: dict[str, Columns] = {}
        self.column_types: dict[str, int] = {}
        for table, column, kind in self._sqlite.execute(_SELECT_TABLE_COLUMNS):
            oid = get_type_oid(kind)
            self.tables.setdefault(table, []).append((column, oid))
            self.column_types[column] = oid

    @property
    def writable(self) -> bool:
        """Whether the database accepts writes."""
        return self.role is Role.PRIMARY and not self.fenced

    def run(
        self, pending: list[Write], statement: Statement, parameters: tuple
    ) -> Outcome:
        """Run a statement after its transaction's writes, then roll back.

        Parameters
        ----------
        pending : list of Write
            Earlier writes of the transaction, which are not committed yet.
        statement : Statement
            The statement.
        parameters : tuple
            Values of its parameters.

        Raises
        ------
        DatabaseError
            If sqlite rejects it, or if it writes and the database is read-only.
        """
        if statement.writes and not self.writable:
            raise DatabaseError("25006", "cannot write: the database is read-only")
        if not statement.writes and not pending:
            return self._execute(statement, parameters)
        self._sqlite.execute("BEGIN")
        try:
            self._execute_writes(pending)
            return self._execute(statement, parameters)
        finally:
            self._sqlite.execute("ROLLBACK")

    def commit(self, writes: list[Write]) -> LogPosition:
        """Commit the writes of a transaction and append them to the log.

        Raises
        ------
        DatabaseError
            If an outcome differs from the one returned to the client, or if the
            database has become read-only. Nothing is changed then.
        """
        if not self.writable:
            raise DatabaseError("25006", "cannot commit: the database is read-only")
        self._sqlite.execute("BEGIN")
        try:
            self._execute_writes(writes)
        except DatabaseError:
            self._sqlite.execute("ROLLBACK")
            raise
        self._sqlite.execute("COMMIT")
        self.log.append(LogEntry(self.term, writes, self._now()))
        self.replayed_position = len(self.log)
        self._reload_changed_schema(writes)
        self.on_change()
        return LogPosition(self.term, len(self.log))

    def _execute_writes(self, writes: list[Write]) -> None:
        for write in writes:
            outcome = self._execute(write.statement, write.parameters)
            if outcome.to_comparable() != write.outcome:
                raise DatabaseError(
                    "40001",
                    "could not serialize access due to a concurrent transaction",
                )

    def _execute(self, statement: Statement, parameters: tuple) -> Outcome:
        try:
            return Outcome(self._sqlite.execute(statement.sql, parameters))
        except sqlite3.Error as error:
            raise translate_sqlite_error(error) from error

    def _reload_changed_schema(self, writes: list[Write]) -> None:
        if any(w.statement.keyword in ("CREATE", "DROP", "ALTER") for w in writes):
            self._load_schema()

    # Replication

    def replay_to(self, position: int) -> None:
        """Apply the log up to ``position``, so that reads show it."""
        for entry in self.log[self.replayed_position : position]:
            self._sqlite.execute("BEGIN")
            for write in entry.writes:
                self._execute(write.statement, write.parameters)
            self._sqlite.execute("COMMIT")
            self._reload_changed_schema(entry.writes)
        self.replayed_position = max(position, self.replayed_position)

    def receive(self, entries: list[LogEntry]) -> None:
        """Append entries received from the followed primary."""
        self.log += entries
        self.unreplayed.append((len(self.log), self._now()))
        self.on_change()

    def _discard_tail(self, source: "Database") -> None:
        """Truncate the log to the prefix that it shares with the log of ``source``."""
        shared = min(len(self.log), len(source.log))
        while self.log[shared - 1] is not source.log[shared - 1]:
            shared -= 1
        if shared == len(self.log):
            return
        del self.log[shared:]
        self.rebuild()

    # Terms

    def status(self) -> DatabaseStatus:
        """Return the status that the database reports."""
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
        """Join ``term`` and stop accepting writes and receiving entries.

        A fenced primary still sends the entries that it wrote in its own term.

        Raises
        ------
        DatabaseError
            If it has joined a higher term, or this term for another promoter.
        """
        is_joined = term == self.term
        if term < self.term or (is_joined and self.promoter != promoter):
            raise DatabaseError(
                _TERM_ERROR_SQLSTATE, f"already joined term {self.term}"
            )
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
            raise DatabaseError(
                _TERM_ERROR_SQLSTATE, f"not fenced for term {term} by {promoter}"
            )
        if not self.fenced and self.role is Role.PRIMARY:
            return
        if not self.fenced:
            raise DatabaseError(
                _TERM_ERROR_SQLSTATE, f"already follows the primary of term {term}"
            )
        self.replay_to(len(self.log))
        self.unreplayed.clear()
        self.term_start_position = len(self.log)
        self.role = Role.PRIMARY
        self.sending_term = term
        self.fenced = False
        self.source_address = ""
        self.on_change()

    def follow(self, term: int, address: str, source: "Database | None") -> None:
        """Follow the primary of ``term`` and discard entries missing from its log.

        Raises
        ------
        DatabaseError
            If it has joined a higher term, is itself the primary of the term, or
            reaches no primary of the term at the address.
        """
        is_own_term = term == self.term and self.writable
        if term < self.term or is_own_term or source is self:
            raise DatabaseError(
                _TERM_ERROR_SQLSTATE,
                f"cannot follow as {self.role} of term {self.term}",
            )
        if source is None or source.term != term or not source.writable:
            raise DatabaseError(
                _TERM_ERROR_SQLSTATE, f"no primary of term {term} at {address}"
            )
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
    """Return the entry that starts every log of a group: its schema."""
    writes = [Write(parse_statement(sql), (), (0, [])) for sql in schema]
    return LogEntry(1, writes, now)
