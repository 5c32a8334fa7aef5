"""Relation of a log position to the history of the current term."""

from enum import Enum, auto


class PositionState(Enum):
    """Whether a log position can be compared with positions of the current term.

    ``COMPARABLE``: it can. ``TERM_UNKNOWN``: it is of a term that this process has not
    seen yet. ``LOST``: its entry is not part of the current term's history.
    """

    COMPARABLE = auto()
    TERM_UNKNOWN = auto()
    LOST = auto()
