"""Says which revision the sender holds."""

import msgspec


class RevisionNotice(msgspec.Struct, frozen=True):
    """The sender's confirmed revision, and how new its `ForceClaim` is.

    Attributes
    ----------
    sender_id : int
        Process that sends.
    revision : int
        Revision that it holds and may give to others.
    root_id : int
        Process whose claim it holds; 0 for none.
    claim_number : int
        Number of that claim.
    """

    sender_id: int
    revision: int
    root_id: int = 0
    claim_number: int = 0
