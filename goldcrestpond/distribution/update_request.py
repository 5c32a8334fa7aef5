"""Message: asks for an update to the receiver's revision."""

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
        Epoch of the sender's state; copied into the answer.
    """

    sender_id: int
    after_revision: int
    epoch: int
