"""Why a promotion is needed."""

from enum import Enum


class PromotionReason(Enum):
    """Why a promotion is needed.

    Members
    -------
    DEAD : the primary counts as dead.
    STALLED : the primary answers, but is cut off from its replicas.
    VACANT : there is no primary, for instance after a promoter stopped midway.
    SPLIT : a promoter stopped after it fenced only a minority.
    DRAIN : the primary is being drained.
    """

    DEAD = "dead"
    STALLED = "stalled"
    VACANT = "vacant"
    SPLIT = "split"
    DRAIN = "drain"
