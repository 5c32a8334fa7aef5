"""What all live instances have in force, told down the tree."""

import msgspec

from ..configuration.revision_count import RevisionCount


class ForceClaim(msgspec.Struct, frozen=True):
    """Revisions of all instances that the root held for live.

    Attributes
    ----------
    sender_id : int
        Process that passes the claim on.
    root_id : int
        Process that worked it out.
    number : int
        Count of the root's claims; a higher one is younger.
    age_ms : int
        Time since the root worked it out, without the time on the way.
    counts : list of RevisionCount
        How many instances hold which revision; each is at least as far.
    """

    sender_id: int
    root_id: int
    number: int
    age_ms: int
    counts: list[RevisionCount]
