"""The live instances of the fleet, by the rows that a few of them write.

An instance that reads the store writes a row with its heartbeat, and rows that list
the instances that follow it. The latter change only when the followers do.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..settings.address import Address, parse_address
from .expiring_rows import ExpiringRows, make_era_reader
from .fleet_protocol import FIRST_PROTOCOL
from .row_fields import Bandwidth, Count
from .row_store import StoredRow

TABLE = "member"
HEARTBEAT_INTERVAL = timedelta(seconds=8)
# A member counts as down after this many missed heartbeats in a row.
MISSED_HEARTBEATS = 3
# After the store was restored from an older copy, live members rewrite their rows
# within about 2 s. A copied row that is not rewritten is of a member that has left.
COPIED_LIFETIME = timedelta(seconds=4)


_FOLLOWERS_INFIX = "/followers/"
_ABSENT_SUFFIX = "/absent"
# A member takes 163 bytes with names of the usual length, so that a row also fits the
# limit of 64 KiB when it is encoded in base64.
ROW_FOLLOWER_LIMIT = 200


class _Followers(NamedTuple):
    """Decoded row that lists followers, ordered by its time."""

    era: int
    version: int
    members: tuple["Member", ...]


# Rows of members without a heartbeat for this time are removed from the store.
EXPIRED_RETENTION = 2 * HEARTBEAT_INTERVAL * MISSED_HEARTBEATS


@dataclass(frozen=True, slots=True)
class Member:
    """A live instance.

    Attributes
    ----------
    name : str
        Its name.
    availability_zone : str
        Its availability zone.
    address : Address or None
        Where it accepts channels from other instances; None if its row has none.
    link_mbps : float
        Bandwidth of its network link in megabits per second; 0 if unknown.
    protocol : int
        Highest version of the rules between instances that it follows; see
        `fleet_protocol`.
    """

    name: str
    availability_zone: str
    address: Address | None
    link_mbps: float = 0
    protocol: int = FIRST_PROTOCOL


class MemberBody(msgspec.Struct, frozen=True):
    """JSON value of a member's row.

    One that is leaving is no longer a member, but its followers still are.
    """

    availability_zone: str
    address: str
    link_mbps: Bandwidth = 0
    era: Count = 0
    is_leaving: bool = False
    protocol: Count = FIRST_PROTOCOL


class FollowersBody(msgspec.Struct, frozen=True):
    """JSON value of a row with followers: their names and member bodies."""

    followers: dict[str, MemberBody]
    era: Count = 0


def followers_key(writer: str, index: int) -> str:
    """Return the key of one of the rows that list an instance's followers."""
    return f"{writer}{_FOLLOWERS_INFIX}{index}"


def absent_key(name: str) -> str:
    """Return the key of the row that marks a member as absent.

    Such a member is no home of organisations, but still counts for all else.
    """
    return name + _ABSENT_SUFFIX


def is_heartbeat_key(key: str) -> bool:
    """Return whether a row is an instance's own, which each heartbeat writes anew."""
    return _FOLLOWERS_INFIX not in key and not key.endswith(_ABSENT_SUFFIX)


def encode_absent(writer: str) -> bytes:
    """Return the value of a row that marks a member as absent."""
    return msgspec.json.encode({"by": writer})


def encode_followers(members: Sequence[Member], era: int) -> bytes:
    """Return the value of a row that lists followers."""
    bodies = {
        m.name: MemberBody(
            m.availability_zone, str(m.address), m.link_mbps, protocol=m.protocol
        )
        for m in members
    }
    return msgspec.json.encode(FollowersBody(bodies, era))


def encode_member(member: Member, era: int, is_leaving: bool = False) -> bytes:
    """Return the value of a member's row that is written in ``era`` of the store."""
    body = MemberBody(
        member.availability_zone,
        str(member.address),
        member.link_mbps,
        era,
        is_leaving,
        member.protocol,
    )
    return msgspec.json.encode(body)


def decode_member(row: StoredRow) -> Member:
    """Return the member of a row; without zone and address if it cannot be decoded."""
    try:
        body = msgspec.json.decode(row.value, type=MemberBody)
        return _make_member(row.key, body)
    except (*DECODE_ERRORS, CodedError):
        return Member(row.key, "", None)


class Members:
    """Members that heartbeats, or the lists of an instance that they follow, tell.

    Rows that list followers are valid for as long as the heartbeat of their writer.
    """

    __slots__ = ("_absent", "_followers", "_rows")

    def __init__(self) -> None:
        self._absent: dict[str, StoredRow] = {}
        self._followers: dict[str, _Followers] = {}
        lifetime = HEARTBEAT_INTERVAL * MISSED_HEARTBEATS
        self._rows = ExpiringRows(
            lifetime, COPIED_LIFETIME, make_era_reader(MemberBody)
        )

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Replace the rows by all member rows that the store has in ``era``."""
        keys = {row.key for row in rows}
        for key, known in list(self._followers.items()):
            # A store that was restored from a copy may lack rows of an earlier era.
            if key not in keys and known.era >= era:
                del self._followers[key]
        self._absent = {}
        heartbeats = self._take_absent(rows)
        self._rows.replace(heartbeats, now, era)
        self._apply_followers(rows, era)

    def update(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Apply changed rows; the value of a removed one is None."""
        heartbeats = self._take_absent(rows)
        self._rows.update(heartbeats, now, era)
        self._apply_followers(rows, era)

    def live(self, now: timedelta) -> list[Member]:
        """Return the live members."""
        members: dict[str, Member] = {}
        rows = self._rows.unexpired(now)
        names = {row.key for row in rows}
        writers = [decode_member(row) for row in rows if not _is_leaving(row)]
        # Of two rows that list the same instance, the later one is right.
        for key, known in sorted(self._followers.items(), key=_by_time):
            if key.partition(_FOLLOWERS_INFIX)[0] in names:
                members |= {member.name: member for member in known.members}
        members |= {writer.name: writer for writer in writers}
        return list(members.values())

    def absent(self, now: timedelta) -> list[str]:
        """Return the names of live members that are marked absent, sorted."""
        if not self._absent:
            return []
        return sorted(m.name for m in self.live(now) if m.name in self._absent)

    def absent_row(self, name: str) -> StoredRow | None:
        """Return the row that marks a member as absent, if there is one."""
        return self._absent.get(name)

    def absent_rows_of_others(self, now: timedelta) -> list[StoredRow]:
        """Return the marks of instances that are no live members."""
        live = {member.name for member in self.live(now)} if self._absent else set()
        return [row for name, row in self._absent.items() if name not in live]

    def followers_of(self, writer: str) -> list[Member]:
        """Return the followers that the rows of a writer list."""
        prefix = writer + _FOLLOWERS_INFIX
        listed = [f for key, f in self._followers.items() if key.startswith(prefix)]
        return [member for known in listed for member in known.members]

    def long_expired(self, now: timedelta) -> list[StoredRow]:
        """Return the heartbeats that expired long ago."""
        return self._rows.unchanged_for(EXPIRED_RETENTION, now)

    def _take_absent(self, rows: Sequence[StoredRow]) -> list[StoredRow]:
        """Apply the marks of absent members; return the heartbeats."""
        heartbeats = []
        for row in rows:
            if row.key.endswith(_ABSENT_SUFFIX):
                name = row.key.removesuffix(_ABSENT_SUFFIX)
                if row.value is None:
                    self._absent.pop(name, None)
                else:
                    self._absent[name] = row
            elif _FOLLOWERS_INFIX not in row.key:
                heartbeats.append(row)
        return heartbeats

    def _apply_followers(self, rows: Sequence[StoredRow], era: int) -> None:
        for row in rows:
            if _FOLLOWERS_INFIX not in row.key:
                continue
            if row.value is None:
                self._followers.pop(row.key, None)
                continue
            decoded = _decode_followers(row)
            known = self._followers.get(row.key)
            # A row of an earlier era comes from a copy and may be older than the known.
            if decoded is not None and (known is None or decoded.era >= known.era):
                self._followers[row.key] = decoded


def _make_member(name: str, body: MemberBody) -> Member:
    address = parse_address(body.address)
    return Member(name, body.availability_zone, address, body.link_mbps, body.protocol)


def _by_time(item: tuple[str, _Followers]) -> tuple[int, int]:
    return item[1].era, item[1].version


def _is_leaving(row: StoredRow) -> bool:
    try:
        return msgspec.json.decode(row.value, type=MemberBody).is_leaving
    except DECODE_ERRORS:
        return False


def _decode_followers(row: StoredRow) -> _Followers | None:
    try:
        body = msgspec.json.decode(row.value, type=FollowersBody)
        members = tuple(
            _make_member(name, each) for name, each in body.followers.items()
        )
        return _Followers(body.era, row.version, members)
    except (*DECODE_ERRORS, CodedError):
        return None  # its followers write rows of their own once nobody serves them
