"""Message: the answer to a probe."""

import msgspec

from .member_update import MemberUpdate


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Identifies the process at the probed address.

    Attributes
    ----------
    sender_id : int
        Process that sends this datagram: the probed one or a helper.
    digest : int
        Digest of the sender's live members.
    number : int
        Number of the probe.
    responder : MemberUpdate
        Current update of the probed process about itself.
    origin : str
        Address to which a helper forwards the answer; empty if none.
    updates : list of MemberUpdate
        Piggybacked updates.
    """

    sender_id: int
    digest: int
    number: int
    responder: MemberUpdate
    origin: str = ""
    updates: list[MemberUpdate] = []
