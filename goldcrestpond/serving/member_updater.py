"""Writes this instance's rows among the members, and applies those of all others."""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..settings.address import Address
from .absence import may_clear
from .decision_log import DecisionLog
from .follower_list import FollowerList
from .members import (
    HEARTBEAT_INTERVAL,
    ROW_FOLLOWER_LIMIT,
    TABLE,
    Member,
    Members,
    absent_key,
    encode_absent,
    encode_followers,
    encode_member,
    followers_key,
    is_heartbeat_key,
)
from .row_store import RowPut, RowStore, StoredRow
from .store_era import StoreEra

# When the store was restored, all writers rewrite their rows, spread over this time.
REWRITE_SPREAD_S = 1.0
# Changed followers are written at most this often.
CHECK_INTERVAL = timedelta(seconds=1)
# An instance that no longer reads the store removes its rows after this time, within
# which its former followers are listed by others.
ROWS_RETENTION = timedelta(seconds=6)
LEAVE_TIMEOUT_S = 0.5
# Time until a mark is written once more that was not written, or not read again yet.
MARK_RETRY_INTERVAL = timedelta(seconds=2)

SetMembers = Callable[[list[Member]], None]


class MemberUpdater:
    """Writes heartbeats and lists of followers, and tells the live members.

    Parameters
    ----------
    member : Member
        This instance.
    store : RowStore
        The store.
    era : StoreEra
        Its era; the rows are rewritten in each new one.
    set_members : callable
        Receives the live members whenever they change.
    followers : FollowerList
        The instances that follow this one.
    lists_followers : callable
        Returns whether the rows of this instance list its followers.
    is_writer : callable
        Returns whether this instance writes rows; the others are listed by the
        instance that they follow.
    clock : Clock
        Source of the time.
    rng : random.Random
        Spreads the writes of several instances.
    log : DecisionLog
        Receives log events.

    Attributes
    ----------
    member : Member
        This instance.
    live : list of Member
        Live members, sorted by name; always includes this instance.
    absent : frozenset of str
        Names of live members that are marked absent.
    is_known : bool
        Whether the rows were read.
    is_listed : bool
        Whether the rows themselves list this instance, so that all others that read
        them count it as a member.
    rows_version : tuple of int and int
        Era of the store and version of the last change of the rows that may have
        changed the members.
    on_status_change : callable
        Called when ``absent`` or ``is_listed`` has changed, after ``set_members``.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_followers",
        "_heartbeat_due_at",
        "_is_leaving",
        "_is_told",
        "_is_writer",
        "_known_states",
        "_lists_followers",
        "_log",
        "_mark_tried_at",
        "_marked_at",
        "_members",
        "_rng",
        "_rows_kept_until",
        "_set_members",
        "_store",
        "_written",
        "_written_era",
        "absent",
        "is_known",
        "is_listed",
        "live",
        "member",
        "on_status_change",
        "rows_version",
    )

    def __init__(
        self,
        member: Member,
        store: RowStore,
        era: StoreEra,
        set_members: SetMembers,
        followers: FollowerList,
        lists_followers: Callable[[], bool],
        is_writer: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self.member = member
        self._store = store
        self._era = era
        self._set_members = set_members
        self._followers = followers
        self._lists_followers = lists_followers
        self._is_writer = is_writer
        self._clock = clock
        self._rng = rng
        self._log = log
        self._members = Members()
        self._is_leaving = False
        self._is_told = False
        self._written: list[list[Member]] | None = None  # followers by row
        self._heartbeat_due_at = timedelta.min
        self._written_era = 0
        self._rows_kept_until = timedelta.min
        self._known_states: dict[str, bytes | int] = {}
        self.rows_version = (0, 0)
        self.is_known = False
        self.is_listed = False
        self.absent: frozenset[str] = frozenset()
        self.on_status_change: Callable[[], None] = lambda: None
        self._mark_tried_at: dict[str, timedelta] = {}
        self._marked_at: timedelta | None = None  # when it read that it is absent
        self.live: list[Member] = [member]

    def set_address(self, address: Address) -> None:
        """Set where this instance accepts channels, known once its port is bound."""
        self.member = replace(self.member, address=address)
        self.live = [self.member]

    def replace(self, rows: Sequence[StoredRow], version: int = 0) -> None:
        """Apply all rows of the table.

        Parameters
        ----------
        rows : sequence of StoredRow
            The rows.
        version : int, default=0
            Version up to which they are complete.
        """
        now = self._clock.now()
        self._record_version(rows, version)
        self._members.replace(rows, now, self._era.current)
        if not self.is_known:
            # Those of an earlier run of this instance count as live until they had
            # time to ask it; else its first write would remove them all.
            for follower in self._members.followers_of(self.member.name):
                self._followers.record(follower, None, now)
        self.is_known = True
        self._refresh()

    def update(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed rows; the value of a removed one is None."""
        self._record_version(rows, None)
        self._members.update(rows, self._clock.now(), self._era.current)
        self._refresh()

    async def run(self) -> None:
        """Write rows when they are due until this instance leaves."""
        while not self._is_leaving:
            await self._write_if_due()
            await self._clear_own_mark()
            await self._wait()
            self._refresh()

    async def mark_absent(self, name: str, silence: timedelta) -> None:
        """Mark a member that does not answer, unless it is marked or gone.

        Parameters
        ----------
        name : str
            Its name.
        silence : timedelta
            For how long it has not answered.
        """
        now = self._clock.now()
        is_member = any(member.name == name for member in self.live)
        tried_at = self._mark_tried_at.get(name)
        is_tried = tried_at is not None and now - tried_at < MARK_RETRY_INTERVAL
        if not is_member or name in self.absent or is_tried:
            return
        self._mark_tried_at[name] = now
        condition = _row(absent_key(name))
        put = RowPut(TABLE, "", condition.key, encode_absent(self.member.name))
        outcome = "marked"
        try:
            await self._store.write([condition], [put])
        except CodedError as error:
            outcome = str(error)
        self._log.decision(
            "absent marked",
            member=name,
            silent_ms=round(silence / timedelta(milliseconds=1)),
            outcome=outcome,
        )

    async def leave(self) -> None:
        """Remove this instance from its rows, so that it is no longer a member.

        Its followers stay listed until they are listed by others.
        """
        self._is_leaving = True
        if self._written is None:
            return
        row = StoredRow(TABLE, "", self.member.name, None, 0)
        # Without a heartbeat the lists of followers would not count.
        value = encode_member(self.member, self._era.current, is_leaving=True)
        has_followers = any(self._written)
        puts = [RowPut(TABLE, "", self.member.name, value)] if has_followers else []
        removals = [] if has_followers else [row]
        with anyio.move_on_after(LEAVE_TIMEOUT_S):
            try:
                await self._store.write([], puts, removals)
            except CodedError as error:
                # The row expires when its heartbeats are missing.
                self._log.decision("member not removed", detail=error.detail)

    async def _wait(self) -> None:
        """Wait until rows may be due, or a new era of the store has begun."""
        known = self._written_era if self._written is not None else self._era.current
        if await self._era.wait_for_change(known, CHECK_INTERVAL):
            await anyio.sleep(REWRITE_SPREAD_S * self._rng.random())

    def _record_version(
        self, rows: Sequence[StoredRow], complete_up_to: int | None
    ) -> None:
        """Record the version of the last change that may have changed the members.

        Heartbeats repeat their value and are no change. All other rows are written only
        when they change, so a new version of one with the same value is of a row that
        was removed meanwhile. When all rows are read, there may have been any changes
        that they don't show.

        Parameters
        ----------
        rows : sequence of StoredRow
            All rows, or the changed ones.
        complete_up_to : int or None
            Version up to which all rows are complete; None for changed ones.
        """
        known = self._known_states
        if complete_up_to is not None:
            known.clear()
            changed = [complete_up_to]
        else:
            changed = [
                row.version
                for row in rows
                if row.value is None or known.get(row.key) != _read_state(row)
            ]
        for row in rows:
            if row.value is None:
                known.pop(row.key, None)
            else:
                known[row.key] = _read_state(row)
        era, version = self.rows_version
        if changed:
            former = version if era == self._era.current else 0
            self.rows_version = (self._era.current, max(former, *changed))

    def _refresh(self) -> None:
        if not self.is_known:
            return
        now = self._clock.now()
        members = {m.name: m for m in self._members.live(now)}
        is_listed = self.member.name in members
        members[self.member.name] = self.member
        live = [members[name] for name in sorted(members)]
        absent = frozenset(self._members.absent(now))
        is_marked = self._members.absent_row(self.member.name) is not None
        self._marked_at = (self._marked_at or now) if is_marked else None
        status = (absent, is_listed)
        is_status_changed = status != (self.absent, self.is_listed)
        self.absent, self.is_listed = status
        if live != self.live or not self._is_told:
            self.live = live
            self._is_told = True
            self._set_members(live)
        if is_status_changed:
            self.on_status_change()

    async def _write_if_due(self) -> None:
        now = self._clock.now()
        if not self.is_known:
            return
        if self._is_writer():
            self._rows_kept_until = now + ROWS_RETENTION
            followers = self._split_followers(now)
            is_new_era = self._written_era != self._era.current
            is_changed = is_new_era or followers != self._written
            if is_changed or now >= self._heartbeat_due_at:
                await self._write(followers, is_changed)
                await self._remove_expired_rows(now)
        elif self._written is not None and now >= self._rows_kept_until:
            await self._remove_rows()

    def _split_followers(self, now: timedelta) -> list[list[Member]]:
        if not self._lists_followers():
            return []
        followers = [m for m in self._followers.live(now) if m.name != self.member.name]
        starts = range(0, len(followers), ROW_FOLLOWER_LIMIT)
        return [followers[start : start + ROW_FOLLOWER_LIMIT] for start in starts]

    async def _write(self, followers: list[list[Member]], is_changed: bool) -> None:
        era, name = self._era.current, self.member.name
        puts = [RowPut(TABLE, "", name, encode_member(self.member, era))]
        if is_changed:
            puts += [
                RowPut(TABLE, "", followers_key(name, i), encode_followers(part, era))
                for i, part in enumerate(followers)
            ]
        written_count = len(self._written or ())
        obsolete = range(len(followers), written_count)
        removals = [_row(followers_key(name, i)) for i in obsolete]
        self._heartbeat_due_at = self._clock.now() + HEARTBEAT_INTERVAL
        try:
            await self._store.write([], puts, removals)
        except CodedError as error:
            self._log.decision("heartbeat not written", detail=error.detail)
            # It may have been written; the rows are written anew in any case.
            self._written_era = -1
            self._written = (
                followers if len(followers) > written_count else self._written
            )
            return
        self._written, self._written_era = followers, era

    async def _clear_own_mark(self) -> None:
        """Be a possible home again: this instance reads the table and is in touch."""
        row = self._members.absent_row(self.member.name)
        if row is None or not may_clear(self._marked_at, self._clock.now()):
            return
        outcome = "cleared"
        try:
            await self._store.write([row], [], [row])
        except CodedError as error:
            outcome = str(error)
        self._log.decision("absent cleared", member=self.member.name, outcome=outcome)

    async def _remove_expired_rows(self, now: timedelta) -> None:
        """Remove the rows of instances that have long gone, which newcomers would use.

        A row that is written again at this moment stays.
        """
        rows = self._members.long_expired(now)
        for row in rows + self._members.absent_rows_of_others(now):
            try:
                await self._store.write([row], [], [row])
            except CodedError as error:
                self._log.decision(
                    "expired member not removed", member=row.key, detail=error.detail
                )

    async def _remove_rows(self) -> None:
        name = self.member.name
        keys = [name, *(followers_key(name, i) for i in range(len(self._written)))]
        try:
            await self._store.write([], [], [_row(key) for key in keys])
        except CodedError as error:
            self._log.decision("member rows not removed", detail=error.detail)
            return
        self._written = None


def _read_state(row: StoredRow) -> bytes | int:
    """Return what differs between two states of a row that are not the same."""
    return row.value if is_heartbeat_key(row.key) else row.version


def _row(key: str) -> StoredRow:
    return StoredRow(TABLE, "", key, None, 0)
