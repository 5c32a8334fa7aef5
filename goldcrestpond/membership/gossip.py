"""Message: member updates, pushed or in answer to a `SyncRequest`."""

import msgspec

from .member_update import MemberUpdate


class Gossip(msgspec.Struct, frozen=True):
    """Updates for the receiver.

    Attributes
    ----------
    sender_id : int
        Process that sends.
    digest : int
        Digest of the sender's live members.
    updates : list of MemberUpdate
        Updates that the receiver may not know yet.
    is_answer : bool
        True in an answer to a `SyncRequest`: other members presumably know these
        updates, so the receiver does not pass them on.
    more : bool
        True in the last datagram of an answer that left out updates; another
        `SyncRequest` gets more of them.
    """

    sender_id: int
    digest: int
    updates: list[MemberUpdate]
    is_answer: bool = False
    more: bool = False
