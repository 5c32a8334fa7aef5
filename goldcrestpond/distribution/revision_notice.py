"""Message: announces the sender's revision."""

import msgspec


class RevisionNotice(msgspec.Struct, frozen=True):
    """The sender's confirmed revision and the number of its newest `ForceClaim`.

    Attributes
    ----------
    sender_id : int
        Process that sends the notice.
    revision : int
        Revision that the sender has and can pass on.
    root_id : int
        Root whose claim the sender has; 0 for none.
    claim_number : int
        Number of that claim; 0 if the sender has none of this root.
    """

    sender_id: int
    revision: int
    root_id: int = 0
    claim_number: int = 0
