"""Steps of a promotion."""

from enum import Enum, auto


class PromotionStep(Enum):
    """Where a promotion stands.

    Members
    -------
    FENCING : databases are asked to join the new term.
    PROMOTING : a majority joined; the candidate is asked to become primary.
    DONE : the candidate is the primary.
    SUPERSEDED : a database has joined a later term; this one is over.
    """

    FENCING = auto()
    PROMOTING = auto()
    DONE = auto()
    SUPERSEDED = auto()
