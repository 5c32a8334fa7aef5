"""Updates on their own, and answers to comparisons of the whole table."""

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
        What the receiver may not know yet.
    is_answer : bool
        True for a part of an answer to a `SyncRequest`: others know it, so the
        receiver does not pass it on.
    more : bool
        True if this ends a part of an answer to a `SyncRequest` and the rest
        waits for another request.
    """

    sender_id: int
    digest: int
    updates: list[MemberUpdate]
    is_answer: bool = False
    more: bool = False
