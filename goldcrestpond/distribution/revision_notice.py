"""Says which revision the sender holds."""

import msgspec


class RevisionNotice(msgspec.Struct, frozen=True):
    """The sender's confirmed revision.

    Attributes
    ----------
    sender_id : int
        Process that sends.
    revision : int
        Revision that it holds and may give to others.
    """

    sender_id: int
    revision: int
