"""One statement on one instance, as members pass it on."""

import msgspec

from .member_state import MemberState


class MemberUpdate(msgspec.Struct, frozen=True):
    """A statement on one process of an instance.

    Updates of one instance form a total order, see `supersedes`, so that
    members agree whatever the order in which they hear them.

    Attributes
    ----------
    instance_id : int
        Random 64-bit number that a process draws at its start.
    incarnation : int
        Raised by the process itself to refute a suspicion or a death.
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
        """True if the instance counts as live (alive or only suspected)."""
        return self.state <= MemberState.SUSPECT


def supersedes(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Return True if ``update`` replaces ``known`` of the same instance."""
    return _rank(update) > _rank(known)


def _rank(update: MemberUpdate) -> tuple[bool, int, int]:
    final = update.state == MemberState.LEFT
    return (final, update.incarnation, update.state)
