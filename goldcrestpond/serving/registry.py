"""The databases in the registry, and those that were unlisted a moment ago."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .database import Database

# Assumed age of a drain that had begun before this process first read the entry.
UNKNOWN_DRAIN_AGE = timedelta(hours=1)
# Entries that expire while the store is unreachable are listed again within 2 s of its
# return.
UNLISTED_GRACE = timedelta(milliseconds=2500)


@dataclass(slots=True)
class _Entry:
    database: Database
    draining_since: timedelta | None = None
    unlisted_at: timedelta | None = None


class Registry:
    """Databases by id.

    An entry that is no longer listed is kept for ``UNLISTED_GRACE``, since it may be
    listed again. Until then a replica gets no new reads, the leader still gets work,
    and connections stay open.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def put(self, database: Database, now: timedelta) -> None:
        """Add or replace an entry."""
        known = self._entries.get(database.database_id)
        since = None
        if database.is_draining:
            since = now - UNKNOWN_DRAIN_AGE if known is None else now
            if known is not None and known.draining_since is not None:
                since = known.draining_since
        self._entries[database.database_id] = _Entry(database, since)

    def mark_unlisted(self, database_id: str, now: timedelta) -> None:
        """Record that an entry is no longer listed."""
        entry = self._entries.get(database_id)
        if entry is not None and entry.unlisted_at is None:
            entry.unlisted_at = now

    def replace(
        self, databases: Iterable[Database], now: timedelta, is_copy: bool = False
    ) -> None:
        """Replace the entries by the whole list.

        Parameters
        ----------
        databases : iterable of Database
            The entries.
        now : timedelta
            Current time.
        is_copy : bool
            Whether the store was restored from a copy since the last list: entries
            that are older than the known ones are ignored then.
        """
        listed = {database.database_id: database for database in databases}
        for database_id in self._entries.keys() - listed.keys():
            self.mark_unlisted(database_id, now)
        for database in listed.values():
            if not (is_copy and self._knows_newer(database)):
                self.put(database, now)

    def remove_unlisted(self, now: timedelta) -> bool:
        """Remove unlisted entries after their grace; return whether there were any."""
        count = len(self._entries)
        for database_id, entry in list(self._entries.items()):
            unlisted_at = entry.unlisted_at
            if unlisted_at is not None and now - unlisted_at >= UNLISTED_GRACE:
                del self._entries[database_id]
        return len(self._entries) < count

    def get(self, database_id: str) -> Database | None:
        """Return an entry, even if it is unlisted, or None."""
        entry = self._entries.get(database_id)
        return None if entry is None else entry.database

    def leaving_since(self, database_id: str) -> timedelta | None:
        """Return since when a database drains or is unlisted; None if neither."""
        entry = self._entries.get(database_id)
        if entry is None:
            return None
        known = (entry.draining_since, entry.unlisted_at)
        return min((at for at in known if at is not None), default=None)

    def databases(self) -> list[Database]:
        """Return all entries, including the unlisted ones."""
        return [entry.database for entry in self._entries.values()]

    def _knows_newer(self, database: Database) -> bool:
        known = self._entries.get(database.database_id)
        if known is None or known.database.started_at_ms != database.started_at_ms:
            return False
        return database.sequence < known.database.sequence
