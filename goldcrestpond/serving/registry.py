"""The databases that are registered, and those that have just lapsed."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .database import Database

# Age of a drain that had begun before this process heard of the database.
UNKNOWN_DRAIN_AGE = timedelta(hours=1)
# Entries that lapse while the store is away are back within 2 s of its return.
UNLISTED_GRACE = timedelta(milliseconds=2500)


@dataclass(slots=True)
class _Entry:
    database: Database
    draining_since: timedelta | None = None
    lapsed_at: timedelta | None = None


class Registry:
    """Databases by id.

    A lapsed entry is kept for ``UNLISTED_GRACE``: it is not used for new work by
    itself, but its connections stay, and it may come back.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def put(self, database: Database, now: timedelta) -> None:
        """Take in a new or changed entry."""
        known = self._entries.get(database.database_id)
        since = None
        if database.is_draining:
            since = now - UNKNOWN_DRAIN_AGE if known is None else now
            if known is not None and known.draining_since is not None:
                since = known.draining_since
        self._entries[database.database_id] = _Entry(database, since)

    def mark_unlisted(self, database_id: str, now: timedelta) -> None:
        """Note that an entry is no longer listed."""
        entry = self._entries.get(database_id)
        if entry is not None and entry.lapsed_at is None:
            entry.lapsed_at = now

    def replace(
        self, databases: Iterable[Database], now: timedelta, is_copy: bool = False
    ) -> None:
        """Take in the whole list.

        Parameters
        ----------
        databases : iterable of Database
            The entries.
        now : timedelta
            Present reading.
        is_copy : bool
            Whether the store has come back from a copy since the last list: entries
            that are older than the known ones change nothing then.
        """
        listed = {database.database_id: database for database in databases}
        for database_id in self._entries.keys() - listed.keys():
            self.mark_unlisted(database_id, now)
        for database in listed.values():
            if not (is_copy and self._knows_newer(database)):
                self.put(database, now)

    def remove_unlisted(self, now: timedelta) -> bool:
        """Drop the entries whose grace is over; return whether there were any."""
        count = len(self._entries)
        for database_id, entry in list(self._entries.items()):
            lapsed_at = entry.lapsed_at
            if lapsed_at is not None and now - lapsed_at >= UNLISTED_GRACE:
                del self._entries[database_id]
        return len(self._entries) < count

    def get(self, database_id: str) -> Database | None:
        """Return an entry, lapsed or not, or None."""
        entry = self._entries.get(database_id)
        return None if entry is None else entry.database

    def leaving_since(self, database_id: str) -> timedelta | None:
        """Return since when a database is known to drain or to have lapsed."""
        entry = self._entries.get(database_id)
        if entry is None:
            return None
        known = (entry.draining_since, entry.lapsed_at)
        return min((at for at in known if at is not None), default=None)

    def databases(self) -> list[Database]:
        """Return all entries, lapsed ones included."""
        return [entry.database for entry in self._entries.values()]

    def _knows_newer(self, database: Database) -> bool:
        known = self._entries.get(database.database_id)
        if known is None or known.database.started_at_ms != database.started_at_ms:
            return False
        return database.sequence < known.database.sequence
