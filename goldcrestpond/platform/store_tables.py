"""Applies rows of the configuration and of the registry to the directory."""

from collections.abc import Sequence

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..serving.database import Database
from ..serving.decision_log import DecisionLog
from ..serving.directory import Directory
from ..serving.row_store import StoredRow
from ..serving.store_era import StoreEra
from . import database_entry, operator_configuration

_ROW_ERRORS = (*DECODE_ERRORS, KeyError, CodedError)


class ConfigurationRowHandler:
    """Applies rows of the table with the operator's configuration."""

    __slots__ = ("_directory", "_log")

    def __init__(self, directory: Directory, log: DecisionLog):
        self._directory = directory
        self._log = log

    def apply_rows(self, rows: Sequence[StoredRow]) -> None:
        """Apply each readable configuration that is newer than the one in force."""
        for row in rows:
            if row.key != operator_configuration.KEY or row.value is None:
                continue
            try:
                table = operator_configuration.decode_configuration(row.value)
            except _ROW_ERRORS as error:
                self._log.decision(
                    "configuration unreadable", row=row.version, detail=str(error)
                )
                continue
            self._directory.apply_table(table)


class RegistryRowHandler:
    """Applies rows of the table in which databases register themselves."""

    __slots__ = (
        "_clock",
        "_directory",
        "_era",
        "_last_list_era",
        "_log",
        "_unreadable_keys",
    )

    def __init__(
        self, directory: Directory, era: StoreEra, clock: Clock, log: DecisionLog
    ):
        self._directory = directory
        self._era = era
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
        self._directory.registry.replace(listed, self._clock.now(), is_copy)
        self._directory.apply_registry()

    def update(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed rows; a removed or unreadable entry becomes unlisted."""
        now = self._clock.now()
        for row in rows:
            database = None if row.value is None else self._decode(row)
            if database is None:
                self._directory.registry.mark_unlisted(row.key, now)
            else:
                self._directory.registry.put(database, now)
        self._directory.apply_registry()

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
