"""A probe: asks an instance whether it lives."""

import msgspec

from .member_state import MemberState
from .member_update import MemberUpdate


class Probe(msgspec.Struct, frozen=True):
    """Asks the process at an address to answer.

    Attributes
    ----------
    sender_id : int
        Process that sends this datagram.
    digest : int
        Digest of the sender's live members.
    number : int
        Number that the answer repeats.
    target_id : int
        Process that is meant; 0 for whoever is there.
    target_incarnation : int
        Incarnation of the target that the sender knows.
    target_state : MemberState
        What the sender holds of the target, so that it can refute.
    origin : str
        Address of the member on whose behalf a helper asks, or empty.
    updates : list of MemberUpdate
        Updates that ride along.
    """

    sender_id: int
    digest: int
    number: int
    target_id: int = 0
    target_incarnation: int = 0
    target_state: MemberState = MemberState.ALIVE
    origin: str = ""
    updates: list[MemberUpdate] = []
