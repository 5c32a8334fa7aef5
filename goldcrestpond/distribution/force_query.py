"""Message: asks a member what is in force."""

import msgspec


class ForceQuery(msgspec.Struct, frozen=True):
    """Asks over a stream for the receiver's current `ForceClaim`.

    Attributes
    ----------
    sender_id : int
        Process that asks; 0 if it is not a member.
    """

    sender_id: int = 0
