"""Judgement on a primary."""

from enum import Enum, auto


class PrimaryHealth(Enum):
    """Whether a primary is taken to work.

    Members
    -------
    ALIVE : it answered last.
    SUSPECT : something failed since; ask again over a fresh connection.
    STALLED : it answers, but its commits do not reach its replicas.
    DEAD : enough failed; a promotion may start.
    """

    ALIVE = auto()
    SUSPECT = auto()
    STALLED = auto()
    DEAD = auto()
