"""Relates a log position of any term to the history of the current term."""

from collections.abc import Iterable

from ..group.log_position import LogPosition
from ..term.term_start import TermStart
from .position_state import PositionState
from .resolved_position import ResolvedPosition


def resolve_position(
    position: LogPosition, current_term: int, term_starts: Iterable[TermStart]
) -> ResolvedPosition:
    """Compare a log position with the start positions of the terms after its own.

    An entry of an earlier term is in the current history, the log of the current
    term's primary, if and only if no later term started below its position. An
    acknowledged entry always is, because the majority that stored it and the majority
    fenced for each later term have a database in common.

    Parameters
    ----------
    position : LogPosition
        Position of a session token, or the lowest position that a read must show.
    current_term : int
        Term of the primary.
    term_starts : iterable of TermStart
        Known start positions of terms, in any order.
    """
    if position.term > current_term:
        return ResolvedPosition(PositionState.TERM_UNKNOWN, position.position)
    start_positions = [
        start.position
        for start in term_starts
        if position.term < start.term <= current_term
    ]
    last_shared = min(start_positions, default=position.position)
    if position.position > last_shared:
        return ResolvedPosition(PositionState.LOST, last_shared)
    return ResolvedPosition(PositionState.COMPARABLE, position.position)
