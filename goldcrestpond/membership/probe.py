"""Message: a probe that checks whether an instance is alive."""

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
        Number of the probe; copied into the answer.
    target_id : int
        Process that is probed; 0 for any process at the address.
    target_incarnation : int
        Incarnation of the target that the sender knows.
    target_state : MemberState
        State of the target in the sender's table, which the target may refute.
    origin : str
        Address of the member for which a helper probes; empty if none.
    updates : list of MemberUpdate
        Piggybacked updates.
    """

    sender_id: int
    digest: int
    number: int
    target_id: int = 0
    target_incarnation: int = 0
    target_state: MemberState = MemberState.ALIVE
    origin: str = ""
    updates: list[MemberUpdate] = []
