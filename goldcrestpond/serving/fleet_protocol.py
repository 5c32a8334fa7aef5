"""Version of the rules that all instances of a fleet follow together.

Some decisions are right only if all instances decide alike, such as where the
organisations have their homes. While instances are replaced one by one, former and new
programs run side by side. Each instance says in its row of the members' table up to
which version it follows the rules; all follow the highest one that every member knows.
Since this is a function of the members, it changes for all with the same state of the
table, and changes back if an earlier program returns.
"""

from collections.abc import Iterable
from typing import Protocol

# Rows without a version were written by programs that know only this one: all services
# have the same holders where there are organisations, and homes divide their rates.
FIRST_PROTOCOL = 0
# Each service has holders of its own, and one instance meters an organisation's rate.
HOLDERS_BY_SERVICE = 1
# What this program follows.
PROTOCOL = HOLDERS_BY_SERVICE


class HasProtocol(Protocol):
    """What the version of a fleet depends on in a member."""

    address: object | None
    protocol: int


def find_fleet_protocol(members: Iterable[HasProtocol]) -> int:
    """Return the version of the rules that all members know; the first without any.

    Members without an address don't count: their rows can't be read, so that nothing
    is sent to them and nothing is known of their program.
    """
    known = [member.protocol for member in members if member.address is not None]
    return min(known, default=FIRST_PROTOCOL)
