"""Message: revisions in a subtree, sent to the parent in the tree."""

import msgspec

from ..configuration.revision_count import RevisionCount


class ForceReport(msgspec.Struct, frozen=True):
    """Revisions of the sender and of its descendants in the tree.

    Attributes
    ----------
    sender_id : int
        Process that reports.
    id_sum : int
        Sum modulo 2^64 of the ids of all counted instances.
    counts : list of RevisionCount
        Number of instances at each revision.
    """

    sender_id: int
    id_sum: int
    counts: list[RevisionCount]
