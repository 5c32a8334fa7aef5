"""Message: asks a helper to probe an instance that did not answer."""

import msgspec

from .member_state import MemberState


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks the receiver to probe ``target_address`` and to forward the answer.

    Attributes
    ----------
    sender_id : int
        Process that asks.
    number : int
        Number of the unanswered probe.
    target_id : int
        Process to probe.
    target_incarnation : int
        Incarnation of the target that the sender knows.
    target_state : MemberState
        State of the target in the sender's table.
    target_address : str
        ``IP:PORT`` of the target's peer socket.
    """

    sender_id: int
    number: int
    target_id: int
    target_incarnation: int
    target_state: MemberState
    target_address: str
