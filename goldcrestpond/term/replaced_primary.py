"""News that a primary was replaced."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplacedPrimary:
    """A primary that can have nothing confirmed any more.

    Attributes
    ----------
    database : str
        Name within the group.
    term : int
        A later term, which a majority has joined.
    is_answering : bool
        Whether the replaced primary answered when it was last asked.
    """

    database: str
    term: int
    is_answering: bool
