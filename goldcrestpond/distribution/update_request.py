"""Message: asks a member for an update to that member's revision."""

import msgspec


class UpdateRequest(msgspec.Struct, frozen=True):
    """Asks a member for the changes after the sender's revision.

    Attributes
    ----------
    sender_id : int
        Process that asks.
    after_revision : int
        Revision that the sender has.
    epoch : int
        Number that the sender changes after each pause; copied into the answer, so
        that an answer to an earlier request does not confirm the sender's state.
    """

    sender_id: int
    after_revision: int
    epoch: int
