"""Asks for what leads to the receiver's revision."""

import msgspec


class UpdateRequest(msgspec.Struct, frozen=True):
    """Asks a member for its configuration.

    Attributes
    ----------
    sender_id : int
        Process that asks.
    after_revision : int
        Revision that it holds.
    epoch : int
        Epoch of the sender's state, which the answer repeats.
    """

    sender_id: int
    after_revision: int
    epoch: int
