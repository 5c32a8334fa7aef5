"""What a part of the tree has in force, told to the parent."""

import msgspec

from ..configuration.revision_count import RevisionCount


class ForceReport(msgspec.Struct, frozen=True):
    """Revisions of the sender and of all below it in the tree.

    Attributes
    ----------
    sender_id : int
        Process that reports.
    id_sum : int
        Sum modulo 2^64 of the instance ids that are counted.
    counts : list of RevisionCount
        How many instances hold which revision.
    """

    sender_id: int
    id_sum: int
    counts: list[RevisionCount]
