"""A log position related to the history of the current term."""

from dataclasses import dataclass

from .position_state import PositionState


@dataclass(frozen=True, slots=True)
class ResolvedPosition:
    """Result of relating a log position to the current term's history.

    Attributes
    ----------
    state : PositionState
        Whether ``position`` may be compared with positions of the current term.
    position : int
        Lowest position that a read must show. If the entry is not in the current
        history, the last position that both histories share, which covers every
        acknowledged entry below the given position.
    """

    state: PositionState
    position: int
