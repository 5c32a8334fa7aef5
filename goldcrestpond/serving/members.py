"""The live instances of the fleet, by the heartbeat rows that they write."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..settings.address import Address, parse_address
from .expiring_rows import ExpiringRows, make_era_reader
from .row_store import StoredRow

TABLE = "member"
HEARTBEAT_INTERVAL = timedelta(seconds=8)
# A member counts as down after this many missed heartbeats in a row.
MISSED_HEARTBEATS = 3
# After the store was restored from an older copy, live members rewrite their rows
# within about 2 s. A copied row that is not rewritten is of a member that has left.
COPIED_LIFETIME = timedelta(seconds=4)


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
    """

    name: str
    availability_zone: str
    address: Address | None
    link_mbps: float = 0


class MemberBody(msgspec.Struct, frozen=True):
    """JSON value of a member's row."""

    availability_zone: str
    address: str
    link_mbps: float = 0
    era: int = 0


def encode_member(member: Member, era: int) -> bytes:
    """Return the value of a member's row that is written in ``era`` of the store."""
    zone = member.availability_zone
    body = MemberBody(zone, str(member.address), member.link_mbps, era)
    return msgspec.json.encode(body)


def decode_member(row: StoredRow) -> Member:
    """Return the member of a row; without zone and address if it cannot be decoded."""
    try:
        body = msgspec.json.decode(row.value, type=MemberBody)
        address = parse_address(body.address)
        return Member(row.key, body.availability_zone, address, body.link_mbps)
    except (*DECODE_ERRORS, CodedError):
        return Member(row.key, "", None)


class Members:
    """Members whose rows have not expired."""

    __slots__ = ("_rows",)

    def __init__(self) -> None:
        lifetime = HEARTBEAT_INTERVAL * MISSED_HEARTBEATS
        self._rows = ExpiringRows(
            lifetime, COPIED_LIFETIME, make_era_reader(MemberBody)
        )

    def replace(self, rows: Sequence[StoredRow], now: timedelta, era: int) -> None:
        """Replace the rows by all member rows that the store has in ``era``."""
        self._rows.replace(rows, now, era)

    def live(self, now: timedelta) -> list[Member]:
        """Return the live members."""
        return [decode_member(row) for row in self._rows.unexpired(now)]
