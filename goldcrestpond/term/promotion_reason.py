"""Why a promotion is due."""

from enum import Enum


class PromotionReason(Enum):
    """Why a promotion is due.

    Members
    -------
    DEAD : the primary is taken to be dead.
    STALLED : the primary answers, but is cut off from its replicas.
    VACANT : no primary is left, for instance because a promoter died.
    SPLIT : a promoter died after it fenced a minority.
    DRAIN : the primary is to leave.
    """

    DEAD = "dead"
    STALLED = "stalled"
    VACANT = "vacant"
    SPLIT = "split"
    DRAIN = "drain"
