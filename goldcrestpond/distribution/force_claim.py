"""Message: what is in force, sent from the root down the tree."""

import msgspec

from ..configuration.revision_count import RevisionCount


class ForceClaim(msgspec.Struct, frozen=True):
    """Revisions of all instances that were live in the root's view.

    Attributes
    ----------
    sender_id : int
        Process that forwards the claim.
    root_id : int
        Process that computed it.
    number : int
        Sequence number among the root's claims.
    age_ms : int
        Time since the root computed the claim; the time on the network is not counted.
    counts : list of RevisionCount
        Number of instances at each revision; an instance may have advanced to
        a higher revision since.
    """

    sender_id: int
    root_id: int
    number: int
    age_ms: int
    counts: list[RevisionCount]
