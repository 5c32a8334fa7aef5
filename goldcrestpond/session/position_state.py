"""How a floor relates to the history of the present term."""

from enum import Enum, auto


class PositionState(Enum):
    """Whether a floor can be compared with positions of the present term."""

    COMPARABLE = auto()
    TERM_UNKNOWN = auto()
    LOST = auto()
