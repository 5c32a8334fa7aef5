"""A floor in terms of the present term's history."""

from dataclasses import dataclass

from .position_state import PositionState


@dataclass(frozen=True, slots=True)
class ResolvedPosition:
    """A floor that may be compared with positions of the present term.

    Attributes
    ----------
    state : PositionState
        ``COMPARABLE`` if ``position`` may be compared; ``TERM_UNKNOWN`` if the floor is of
        a term that this process has not seen yet; ``LOST`` if the present
        history does not hold the floor's entry.
    position : int
        Least position that a read must show; under ``LOST`` the last one that
        both histories share, which covers all that was acknowledged below the
        floor.
    """

    state: PositionState
    position: int
