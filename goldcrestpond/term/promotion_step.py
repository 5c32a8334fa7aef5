"""Step that a promotion has reached."""

from enum import Enum, auto


class PromotionStep(Enum):
    """Step that a promotion has reached.

    Members
    -------
    FENCING : databases are asked to join the new term.
    PROMOTING : a majority joined; the candidate is asked to become primary.
    DONE : the candidate is the primary.
    SUPERSEDED : a database joined another term; this promotion has failed.
    """

    FENCING = auto()
    PROMOTING = auto()
    DONE = auto()
    SUPERSEDED = auto()
