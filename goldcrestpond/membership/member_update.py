"""Message part: the state of one process, as members pass it on."""

import msgspec

from .member_state import MemberState


class MemberUpdate(msgspec.Struct, frozen=True):
    """State of one process of an instance.

    Updates of one process form a total order, see `supersedes`, so that members
    agree in whatever order they receive them.

    Attributes
    ----------
    instance_id : int
        Random 64-bit number that a process draws at its start.
    incarnation : int
        Raised only by the process itself, to refute that it is suspect or dead.
    state : MemberState
        State at that incarnation.
    name : str
        Name of the instance.
    address : str
        ``IP:PORT`` of its peer socket.
    availability_zone : str
        Availability zone.
    """

    instance_id: int
    incarnation: int
    state: MemberState
    name: str
    address: str
    availability_zone: str

    @property
    def is_live(self) -> bool:
        """True if the instance counts as live: it is alive or suspect."""
        return self.state <= MemberState.SUSPECT


def supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Return True if ``update`` replaces ``known``, of the same ``instance_id``."""
    return _order_key(update) > _order_key(known)


def _order_key(update: MemberUpdate) -> tuple[bool, int, int]:
    is_final = update.state == MemberState.LEFT
    return (is_final, update.incarnation, update.state)
