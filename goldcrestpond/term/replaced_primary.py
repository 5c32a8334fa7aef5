"""A primary that was replaced."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReplacedPrimary:
    """A primary whose commits can no longer be confirmed.

    Attributes
    ----------
    database : str
        Name within the group.
    term : int
        A later term, which a majority has joined.
    is_answering : bool
        Whether the replaced primary answered the last poll.
    """

    database: str
    term: int
    is_answering: bool
