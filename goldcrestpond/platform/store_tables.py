"""Applies rows of the configuration and of the registry to the directory."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..serving.database import Database
from ..serving.decision_log import DecisionLog
from ..serving.directory import Directory
from ..serving.route_table import RouteTable
from ..serving.row_store import StoredRow
from ..serving.store_era import StoreEra
from . import database_entry, operator_configuration

_ROW_ERRORS = (*DECODE_ERRORS, KeyError, CodedError)


def replace_keys_in_row(row: StoredRow) -> StoredRow:
    """Return a row of the operator's table with digests instead of keys."""
    if row.key != operator_configuration.KEY or row.value is None:
        return row
    return replace(row, value=operator_configuration.replace_keys(row.value))


class ConfigurationRowHandler:
    """Applies rows of the table with the operator's configuration.

    Parameters
    ----------
    directory : Directory
        Receives each newer version.
    log : DecisionLog
        Receives a line for each version that can't be read.
    get_confirmed_at : callable
        Returns the time at which the table's rows were last known to be complete;
        None if they never were. Rows are applied before they are confirmed.
    """

    __slots__ = ("_directory", "_get_confirmed_at", "_log", "_proof")

    def __init__(
        self,
        directory: Directory,
        log: DecisionLog,
        get_confirmed_at: Callable[[], timedelta | None],
    ):
        self._directory = directory
        self._log = log
        self._get_confirmed_at = get_confirmed_at
        # Returns up to when the version in force was known to be the newest one.
        self._proof = get_confirmed_at

    def age(self, now: timedelta) -> timedelta | None:
        """Return the time since the version in force was known to be the newest one.

        None if it never was. It rises while the newest version can't be read.
        """
        confirmed_at = self._proof()
        return None if confirmed_at is None else now - confirmed_at

    def apply_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply each readable configuration that is newer than the one in force."""
        for row in rows:
            if row.key != operator_configuration.KEY or row.value is None:
                continue
            table = self._decode(row)
            if table is None:
                confirmed_at = self._proof()
                self._proof = lambda confirmed_at=confirmed_at: confirmed_at
                continue
            self._directory.apply_table(table)
            if table.version >= self._directory.table.version:
                self._proof = self._get_confirmed_at

    def offer_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply newer configurations of which it isn't known if they are the newest."""
        for row in rows:
            if row.key == operator_configuration.KEY and row.value is not None:
                table = self._decode(row)
                if table is not None:
                    self._directory.apply_table(table)

    def _decode(self, row: StoredRow) -> RouteTable | None:
        try:
            return operator_configuration.decode_configuration(row.value)
        except _ROW_ERRORS as error:
            self._log.decision(
                "configuration unreadable", row=row.version, detail=str(error)
            )
            return None


class RegistryRowHandler:
    """Applies rows of the table in which databases register themselves.

    Parameters
    ----------
    directory : Directory
        Has the registry.
    era : StoreEra
        Era of the store.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives a line for each entry that can't be read.
    get_confirmed_at : callable
        Returns the time at which the table's rows were last known to be complete;
        None if they never were. Rows are applied before they are confirmed, so that
        they have changed since then.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_era",
        "_get_confirmed_at",
        "_last_list_era",
        "_log",
        "_unreadable_keys",
    )

    def __init__(
        self,
        directory: Directory,
        era: StoreEra,
        clock: Clock,
        log: DecisionLog,
        get_confirmed_at: Callable[[], timedelta | None],
    ):
        self._directory = directory
        self._era = era
        self._get_confirmed_at = get_confirmed_at
        self._last_list_era = 0
        self._clock = clock
        self._log = log
        self._unreadable_keys: set[str] = set()

    def replace(self, rows: Sequence[StoredRow]) -> None:
        """Replace the registry with all rows of the table."""
        decoded = [self._decode(row) for row in rows if row.value is not None]
        listed = [database for database in decoded if database is not None]
        era = self._era.current
        # A store that was restored from a copy may list older entries than are known.
        is_copy, self._last_list_era = era != self._last_list_era, era
        now = self._clock.now()
        changed_after = self._find_changed_after(now)
        self._directory.registry.replace(listed, now, changed_after, is_copy)
        self._directory.apply_registry()

    def update(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed rows; a removed or unreadable entry becomes unlisted."""
        now = self._clock.now()
        changed_after = self._find_changed_after(now)
        registry = self._directory.registry
        for row in rows:
            database = None if row.value is None else self._decode(row)
            if database is None:
                registry.mark_unlisted(row.key, now, changed_after)
            else:
                registry.put(database, changed_after)
        self._directory.apply_registry()

    def _find_changed_after(self, now: timedelta) -> timedelta:
        """Return the latest time before which no row has changed that comes now."""
        confirmed_at = self._get_confirmed_at()
        return now if confirmed_at is None else min(now, confirmed_at)

    def _decode(self, row: StoredRow) -> Database | None:
        try:
            database = database_entry.decode_entry(row.key, row.value)
        except _ROW_ERRORS as error:
            if row.key not in self._unreadable_keys:
                self._log.decision(
                    "entry unreadable", database=row.key, detail=str(error)
                )
            self._unreadable_keys.add(row.key)
            return None
        self._unreadable_keys.discard(row.key)
        return database
