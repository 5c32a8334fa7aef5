"""Health of a primary."""

from enum import Enum, auto


class PrimaryHealth(Enum):
    """Health of a primary, derived from poll results.

    Members
    -------
    ALIVE : no attempt to reach it has failed since its last answer.
    SUSPECT : an attempt failed since; poll again over a fresh connection.
    STALLED : it answers, but its commits do not reach its replicas.
    DEAD : it failed for long enough that a promotion may start.
    """

    ALIVE = auto()
    SUSPECT = auto()
    STALLED = auto()
    DEAD = auto()
