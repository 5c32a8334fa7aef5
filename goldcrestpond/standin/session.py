"""Transactions and statements of one connection, independent of the protocol."""

import re

from ..group.log_position import LogPosition
from .database import Database
from .database_error import DatabaseError
from .log_entry import Write
from .result_columns import Columns, describe_columns, describe_parameters
from .session_settings import is_on, make_initial_settings, normalize_name, parse_set
from .statement import Statement
from .transaction import Transaction
from .values import TEXT_OID, get_type_oid

_READ_ONLY = re.compile(r"\bread\s+only\b", re.I)
_IGNORED_KEYWORDS = {"UNLISTEN", "CLOSE", "LISTEN", "LOCK", "ANALYZE", "VACUUM"}
_UNSUPPORTED_KEYWORDS = {"COPY", "PREPARE", "EXECUTE", "DECLARE", "FETCH"}
STATUS_COLUMNS = [
    ("database", "text"),
    ("role", "text"),
    ("term", "text"),
    ("position", "text"),
    ("replayed_position", "text"),
    ("last_entry_term", "text"),
    ("term_start_position", "text"),
    ("fenced", "text"),
    ("promoter", "text"),
]


class Result:
    """Result of one statement.

    Attributes
    ----------
    tag : str
        Command tag, such as ``INSERT 0 1``.
    columns : list of tuple
        Name and type OID of each column; empty for a statement that returns no
        rows.
    rows : list of tuple
        Rows returned.
    """

    __slots__ = ("columns", "rows", "tag")

    def __init__(self, tag: str, columns: Columns = (), rows: list[tuple] = ()):
        self.tag = tag
        self.columns = list(columns)
        self.rows = list(rows)


class Session:
    """Transactions, settings and prepared statements of one connection.

    Parameters
    ----------
    database : Database
        Database that the session is connected to.
    startup : dict of str to str
        Parameters of the startup message.
    """

    def __init__(self, database: Database, startup: dict[str, str]):
        self.database = database
        self.defaults = make_initial_settings(startup)
        self.settings = dict(self.defaults)
        self.transaction: Transaction | None = None
        self.changed_settings: set[str] = set()
        self.committed_position: LogPosition | None = None
        self.prepared: dict[str, tuple[Statement, list[int]]] = {}

    @property
    def transaction_status(self) -> str:
        """Transaction status in ReadyForQuery: ``I``, ``T`` or ``E``."""
        if self.transaction is None or not self.transaction.is_explicit:
            return "I"
        return "E" if self.transaction.is_failed else "T"

    def run(self, statement: Statement, parameters: tuple) -> Result:
        """Run one statement.

        Raises
        ------
        DatabaseError
            If it fails; an open transaction is then marked as failed.
        """
        handler = _HANDLERS.get(statement.keyword)
        try:
            if self._is_rejected(statement):
                raise DatabaseError("25P02", "current transaction is aborted")
            if statement.keyword in _UNSUPPORTED_KEYWORDS:
                raise DatabaseError("0A000", f"{statement.keyword} is not supported")
            if handler:
                return handler(self, statement)
            return self._run_sql(statement, parameters)
        except DatabaseError:
            if self.transaction:
                self.transaction.is_failed = True
            raise

    def _is_rejected(self, statement: Statement) -> bool:
        ending_keywords = ("COMMIT", "END", "ROLLBACK", "ABORT")
        failed = self.transaction is not None and self.transaction.is_failed
        return failed and statement.keyword not in ending_keywords

    def _run_sql(self, statement: Statement, parameters: tuple) -> Result:
        if self.transaction is None:
            self.transaction = self._new_transaction(False, False)
        transaction = self.transaction
        if statement.writes and transaction.read_only:
            raise DatabaseError("25006", "cannot write in a read-only transaction")
        outcome = self.database.run(transaction.writes, statement, parameters)
        if statement.writes:
            write = Write(statement, parameters, outcome.to_comparable())
            transaction.writes.append(write)
        columns = []
        if outcome.names:
            columns = self.describe(statement, [])
            if len(columns) != len(outcome.names):
                columns = [(name, TEXT_OID) for name in outcome.names]
        count = len(outcome.rows) if columns else outcome.changed_rows
        return Result(
            _make_command_tag(statement.keyword, count), columns, outcome.rows
        )

    def parameter_types(self, statement: Statement, given: list[int]) -> list[int]:
        """Return the OID of each parameter's type."""
        database = self.database
        return describe_parameters(
            statement, given, database.tables, database.column_types
        )

    def describe(self, statement: Statement, given: list[int]) -> Columns:
        """Return the columns that a statement will return."""
        if (
            statement.parse_control_call()
            or statement.sql.lower() == "show group_status"
        ):
            return [(name, get_type_oid(kind)) for name, kind in STATUS_COLUMNS]
        if statement.keyword == "SHOW":
            return [(statement.sql.split(None, 1)[-1], TEXT_OID)]
        if statement.keyword in _HANDLERS or not statement.keyword:
            return []
        return describe_columns(
            statement,
            self.parameter_types(statement, given),
            self.database.tables,
            self.database.column_types,
        )

    # Transactions

    def _new_transaction(self, is_explicit: bool, read_only: bool) -> Transaction:
        default = is_on(self.settings["default_transaction_read_only"])
        return Transaction(is_explicit, read_only or default, dict(self.settings))

    def begin(self, statement: Statement) -> Result:
        """Begin a transaction, or make the implicit one explicit."""
        if self.transaction is None:
            read_only = bool(_READ_ONLY.search(statement.source))
            self.transaction = self._new_transaction(True, read_only)
        self.transaction.is_explicit = True
        return Result("BEGIN")

    def commit(self, statement: Statement | None = None) -> Result:
        """Commit the transaction, or roll it back if it has failed."""
        transaction = self.transaction
        if transaction is None:
            return Result("COMMIT")
        if transaction.is_failed:
            return self.rollback()
        self.transaction = None
        if transaction.writes:
            try:
                self.committed_position = self.database.commit(transaction.writes)
            except DatabaseError:
                self._restore_settings(transaction.saved_settings)
                raise
        for name in transaction.local_settings:
            self._assign_setting(name, transaction.saved_settings.get(name))
        return Result("COMMIT")

    def end_implicit_transaction(self) -> None:
        """Commit the implicit transaction of a simple query or pipeline."""
        if self.transaction and not self.transaction.is_explicit:
            self.commit()

    def rollback(self, statement: Statement | None = None) -> Result:
        """Roll back the transaction, or to a savepoint."""
        words = statement.sql.split() if statement else []
        if "TO" in (word.upper() for word in words):
            return self._rollback_to(words[-1])
        if self.transaction:
            self._restore_settings(self.transaction.saved_settings)
        self.transaction = None
        return Result("ROLLBACK")

    def _get_savepoints(self) -> list[tuple[str, int]]:
        if self.transaction is None:
            raise DatabaseError("25P01", "there is no transaction in progress")
        return self.transaction.savepoints

    def _savepoint(self, statement: Statement) -> Result:
        savepoints = self._get_savepoints()
        name = statement.sql.split()[-1]
        savepoints.append((name, len(self.transaction.writes)))
        return Result("SAVEPOINT")

    def _release(self, statement: Statement) -> Result:
        self._remove_savepoints_from(statement.sql.split()[-1])
        return Result("RELEASE")

    def _rollback_to(self, name: str) -> Result:
        count = self._remove_savepoints_from(name)
        del self.transaction.writes[count:]
        self.transaction.savepoints.append((name, count))
        self.transaction.is_failed = False
        return Result("ROLLBACK")

    def _remove_savepoints_from(self, name: str) -> int:
        savepoints = self._get_savepoints()
        while savepoints:
            savepoint, count = savepoints.pop()
            if savepoint == name:
                return count
        raise DatabaseError("3B001", f"savepoint {name} does not exist")

    # Settings

    def _assign_setting(self, name: str, value: str | None) -> None:
        value = self.defaults.get(name) if value is None else value
        if value is None:
            self.settings.pop(name, None)
        else:
            self.settings[name] = value
        self.changed_settings.add(name)

    def _restore_settings(self, saved: dict[str, str]) -> None:
        for name in set(saved) | set(self.settings):
            if saved.get(name) != self.settings.get(name):
                self._assign_setting(name, saved.get(name))

    def _set(self, statement: Statement) -> Result:
        name, value, is_local = parse_set(statement.source)
        if name == "transaction_read_only":
            if self.transaction:
                self.transaction.read_only = is_on(value)
            return Result("SET")
        if is_local and self.transaction:
            self.transaction.local_settings.add(name)
        self._assign_setting(name, value)
        return Result("SET")

    def _show(self, statement: Statement) -> Result:
        name = normalize_name(statement.sql.split(None, 1)[-1].strip())
        if name == "group_status":
            return self.make_status_result("SHOW")
        value = self.settings.get(name)
        if name in ("transaction_read_only", "in_hot_standby"):
            value = "off" if self._can_write(name) else "on"
        if value is None:
            raise DatabaseError(
                "42704", f"unrecognized configuration parameter {name!r}"
            )
        return Result("SHOW", [(name, TEXT_OID)], [(value,)])

    def _can_write(self, name: str) -> bool:
        if name == "in_hot_standby" or self.transaction is None:
            return self.database.writable
        return self.database.writable and not self.transaction.read_only

    def make_status_result(self, tag: str) -> Result:
        """Return a result with the status of the database as its only row."""
        status = self.database.status()
        names = [name for name, _ in STATUS_COLUMNS]
        row = tuple(str(getattr(status, name)).lower() for name in names[:-1])
        row = (status.database, *row[1:], status.promoter)
        return Result(tag, [(name, TEXT_OID) for name in names], [row])

    def _reset(self, statement: Statement) -> Result:
        name = normalize_name(statement.sql.split(None, 1)[-1].strip())
        if name == "all":
            self._restore_settings(self.defaults)
        else:
            self._assign_setting(name, None)
        return Result("RESET")

    def _discard(self, statement: Statement) -> Result:
        self._restore_settings(self.defaults)
        self.prepared.clear()
        return Result("DISCARD ALL")

    def _deallocate(self, statement: Statement) -> Result:
        name = statement.sql.split()[-1].strip('"')
        if name.upper() == "ALL":
            self.prepared.clear()
        elif self.prepared.pop(name, None) is None:
            raise DatabaseError("26000", f"prepared statement {name!r} does not exist")
        return Result("DEALLOCATE")

    def _ignore(self, statement: Statement) -> Result:
        return Result(statement.keyword)


def _make_command_tag(keyword: str, count: int) -> str:
    if keyword == "INSERT":
        return f"INSERT 0 {count}"
    if keyword in ("UPDATE", "DELETE"):
        return f"{keyword} {count}"
    if keyword in ("CREATE", "DROP", "ALTER"):
        return f"{keyword} TABLE"
    return f"SELECT {count}"


_HANDLERS = {
    "BEGIN": Session.begin,
    "START": Session.begin,
    "COMMIT": Session.commit,
    "END": Session.commit,
    "ROLLBACK": Session.rollback,
    "ABORT": Session.rollback,
    "SAVEPOINT": Session._savepoint,
    "RELEASE": Session._release,
    "SET": Session._set,
    "SHOW": Session._show,
    "RESET": Session._reset,
    "DISCARD": Session._discard,
    "DEALLOCATE": Session._deallocate,
    **dict.fromkeys(_IGNORED_KEYWORDS, Session._ignore),
}
