"""The answer to a probe."""

import msgspec

from .member_update import MemberUpdate


class ProbeAnswer(msgspec.Struct, frozen=True):
    """Says who lives at the probed address.

    Attributes
    ----------
    sender_id : int
        Process that sends this datagram: the probed one or a helper.
    digest : int
        Digest of the sender's live members.
    number : int
        Number of the probe.
    responder : MemberUpdate
        The probed process, by its own word.
    origin : str
        Address that a helper passes the answer to, or empty.
    updates : list of MemberUpdate
        Updates that ride along.
    """

    sender_id: int
    digest: int
    number: int
    responder: MemberUpdate
    origin: str = ""
    updates: list[MemberUpdate] = []
