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
    """An entry, listed or not.

    Attributes
    ----------
    database : Database
        Its last content.
    draining_since : timedelta or None
        The earliest time at which its drain may have begun; None if it isn't draining.
    unlisted_at : timedelta or None
        When it was read that the entry is no longer listed; None if it is listed.
    listed_until : timedelta or None
        The latest time at which it was known to be listed; None while it is listed.
    """

    database: Database
    draining_since: timedelta | None = None
    unlisted_at: timedelta | None = None
    listed_until: timedelta | None = None


class Registry:
    """Databases by id.

    An entry that is no longer listed is kept for ``UNLISTED_GRACE``, since it may be
    listed again. Until then a replica gets no new reads, the leader still gets work,
    and connections stay open. The grace counts from when this was read: entries that
    expired long ago, while the store was unreachable, are listed again as well.

    A drain counts from the earliest time at which it may have begun: a process that was
    frozen, or reads a table late, learns of it late.
    """

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def put(self, database: Database, changed_after: timedelta) -> None:
        """Add or replace an entry.

        Parameters
        ----------
        database : Database
            The entry.
        changed_after : timedelta
            Latest time at which the entry was known not to have changed yet.
        """
        known = self._entries.get(database.database_id)
        since = None
        if database.is_draining:
            since = _find_drain_start(known, changed_after)
        self._entries[database.database_id] = _Entry(database, since)

    def mark_unlisted(
        self, database_id: str, now: timedelta, changed_after: timedelta
    ) -> None:
        """Record that an entry is no longer listed; the times are as for `replace`."""
        entry = self._entries.get(database_id)
        if entry is not None and entry.unlisted_at is None:
            entry.unlisted_at, entry.listed_until = now, changed_after

    def replace(
        self,
        databases: Iterable[Database],
        now: timedelta,
        changed_after: timedelta,
        is_copy: bool = False,
    ) -> None:
        """Replace the entries by the whole list.

        Parameters
        ----------
        databases : iterable of Database
            The entries.
        now : timedelta
            Current time.
        changed_after : timedelta
            Latest time at which the entries were known not to have changed yet.
        is_copy : bool
            Whether the store was restored from a copy since the last list: entries
            that are older than the known ones are ignored then.
        """
        listed = {database.database_id: database for database in databases}
        for database_id in self._entries.keys() - listed.keys():
            self.mark_unlisted(database_id, now, changed_after)
        for database in listed.values():
            if not (is_copy and self._knows_newer(database)):
                self.put(database, changed_after)

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


def _find_drain_start(known: _Entry | None, changed_after: timedelta) -> timedelta:
    """Return the earliest time at which a database that drains may have begun to."""
    if known is None:
        return changed_after - UNKNOWN_DRAIN_AGE
    if known.draining_since is not None:
        return known.draining_since
    if known.listed_until is not None:
        # It may have begun before the entry was removed, without being read.
        return known.listed_until
    return changed_after
