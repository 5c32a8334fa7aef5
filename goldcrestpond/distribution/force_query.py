"""Asks a member for what is in force."""

import msgspec


class ForceQuery(msgspec.Struct, frozen=True):
    """Asks over a stream for the receiver's present `ForceClaim`.

    Attributes
    ----------
    sender_id : int
        Process that asks; 0 for one that is no member.
    """

    sender_id: int = 0
