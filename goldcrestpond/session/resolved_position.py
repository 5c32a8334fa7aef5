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
        Lowest position that a read must show. If the entry at the given position is
        not in the current history, the last position that its history and the
        current one share: every acknowledged entry of its history is at or below it.
    """

    state: PositionState
    position: int
