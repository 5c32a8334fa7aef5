"""A copy of one table of the store, from which changes are passed on."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from .row_store import StoredRow

# Removed rows that are remembered. A follower that lacks older removals gets the whole
# table.
REMOVAL_LIMIT_ROWS = 1000

CompareValues = Callable[[bytes, bytes], bool]
ApplyRows = Callable[[Sequence[StoredRow]], None]


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Rows of a table that changed after a version, or all of its rows.

    Attributes
    ----------
    table : str
        Name of the table.
    era : int
        Era of the store; versions of different eras cannot be compared.
    version : int
        The rows are complete up to this version.
    rows : sequence of StoredRow
        The rows in the order of their versions; the value of a removed one is None.
    is_whole : bool
        Whether these are all rows of the table.
    age : timedelta or None
        Time since the rows were known to be complete; None if they never were.
    """

    table: str
    era: int
    version: int
    rows: Sequence[StoredRow]
    is_whole: bool
    age: timedelta | None


class TableCopy:
    """Rows of one table as of a version of the store.

    Versions never go back within an era, and the era never goes back, whoever sends
    the rows.

    Parameters
    ----------
    table : str
        Name of the table.
    replace : callable
        Called with all rows of the table.
    update : callable
        Called with the changed rows; the value of a removed one is None.
    offer : callable
        Called with rows of an earlier era, which are not kept; by default they are
        ignored. The configuration has versions of its own, and one of an earlier era
        may be newer than what a copy of the store contains.
    is_same : callable
        Returns whether two values of a row differ only in what nobody needs to know,
        such as a heartbeat. Such a change is not passed on.
    is_older : callable
        Returns whether the second of two values of a row is older than the first, by
        what they contain. The newer one is kept; a store that was restored from a copy
        contains older ones.

    Attributes
    ----------
    table : str
        Name of the table.
    era : int
        Era of the store whose rows these are.
    version : int or None
        Version up to which the rows are complete; None if nothing is known.
    confirmed_at : timedelta or None
        Time at which the rows were known to be complete.
    offer : callable
        See above.
    on_change : callable
        Called after each change that is passed on to followers.
    """

    __slots__ = (
        "_is_older",
        "_is_same",
        "_removed",
        "_removed_before",
        "_replace",
        "_rows",
        "_update",
        "confirmed_at",
        "era",
        "offer",
        "on_change",
        "table",
        "version",
    )

    def __init__(
        self,
        table: str,
        replace: ApplyRows,
        update: ApplyRows,
        offer: ApplyRows = lambda rows: None,
        is_same: CompareValues = lambda old, new: False,
        is_older: CompareValues = lambda old, new: False,
    ):
        self.table = table
        self.era = 0
        self.version: int | None = None
        self.confirmed_at: timedelta | None = None
        self.on_change: Callable[[], None] = lambda: None
        self._replace = replace
        self._update = update
        self.offer = offer
        self._is_same = is_same
        self._is_older = is_older
        self._rows: dict[tuple[str, str], StoredRow] = {}
        self._removed: dict[tuple[str, str], StoredRow] = {}
        self._removed_before = 0  # removals up to this version may be forgotten

    def age(self, now: timedelta) -> timedelta | None:
        """Return the time since the rows were known to be complete."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def confirm(self, confirmed_at: timedelta) -> None:
        """Record that the rows were complete at a time."""
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at

    def replace(self, rows: Sequence[StoredRow], era: int, version: int) -> bool:
        """Take over all rows of the table; return False if they are older."""
        if (era, version) < (self.era, self.version or 0):
            return False
        known, self._rows = self._rows, {}
        for row in rows:
            self._rows[row.part, row.key] = self._keep_newer(known, row, era)
        if era == self.era:
            # Followers of this era need only what differs, also after lost history.
            for key in known.keys() - self._rows.keys():
                self._removed[key] = replace(known[key], value=None, version=version)
            for key in self._rows.keys() & self._removed.keys():
                del self._removed[key]
        else:
            self._removed = {}
            self._removed_before = version
        self.era, self.version = era, version
        self._deliver(self._replace, rows)
        return True

    def update(self, rows: Sequence[StoredRow], era: int, version: int) -> bool:
        """Apply changed rows; return False if they are not of the present era.

        Rows that are not newer than the known ones are ignored.
        """
        if era != self.era or self.version is None:
            return False
        changed = [row for row in rows if self._apply(row)]
        self.version = max(self.version, version)
        if changed:
            self._deliver(self._update, changed)
        return True

    def changes_after(
        self, era: int, version: int | None, now: timedelta
    ) -> TableChanges | None:
        """Return what changed after a version of a follower.

        None if nothing is known here, or only rows of an era before the follower's.

        Parameters
        ----------
        era : int
            Era that the follower knows.
        version : int or None
            Version that it knows; None if it knows no rows.
        now : timedelta
            Current time.
        """
        if self.version is None or era > self.era:
            return None
        is_whole = version is None or era != self.era or version < self._removed_before
        after = -1 if is_whole else version
        rows = [row for row in self._rows.values() if row.version > after]
        if not is_whole:
            rows += [row for row in self._removed.values() if row.version > after]
        rows.sort(key=lambda row: row.version)
        return TableChanges(
            self.table,
            self.era,
            max(self.version, after),
            rows,
            is_whole,
            self.age(now),
        )

    def _deliver(self, apply: ApplyRows, rows: Sequence[StoredRow]) -> None:
        try:
            apply(rows)
        except Exception:
            self.version = None  # the whole table is read again, so no change is lost
            raise
        self.on_change()

    def _apply(self, row: StoredRow) -> bool:
        """Apply a row; return whether it is a change that others need to know."""
        key = (row.part, row.key)
        known = self._rows.get(key) or self._removed.get(key)
        if known is not None and row.version <= known.version:
            return False
        if row.value is None:
            self._rows.pop(key, None)
            self._removed.pop(key, None)
            self._removed[key] = row
            if len(self._removed) > REMOVAL_LIMIT_ROWS:
                oldest = next(iter(self._removed))
                self._removed_before = max(
                    self._removed_before, self._removed.pop(oldest).version
                )
            return True
        self._removed.pop(key, None)
        kept = self._keep_newer(self._rows, row, self.era)
        is_change = kept is not known
        self._rows[key] = kept
        return is_change

    def _keep_newer(
        self, known: dict[tuple[str, str], StoredRow], row: StoredRow, era: int
    ) -> StoredRow:
        """Return the known row if the new one says the same, or else the newer one."""
        old = known.get((row.part, row.key))
        if old is None or old.value is None or row.value is None:
            return row
        if era == self.era and self._is_same(old.value, row.value):
            return old
        if self._is_older(old.value, row.value):
            return replace(row, value=old.value)
        return row
