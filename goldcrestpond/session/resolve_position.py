"""Translates a floor of any term into the present term's history."""

from collections.abc import Iterable

from ..group.log_position import LogPosition
from ..term.term_start import TermStart
from .position_state import PositionState
from .resolved_position import ResolvedPosition


def resolve_position(
    min_position: LogPosition, present_term: int, starts: Iterable[TermStart]
) -> ResolvedPosition:
    """Compare a floor with the recorded starts of the terms after it.

    An entry of a former term is in the present history exactly if no later
    term started below it. An acknowledged one always is: its majority and the
    fenced majority of each later term share a database.

    Parameters
    ----------
    min_position : LogPosition
        Floor of a session.
    present_term : int
        Term of the primary.
    starts : iterable of TermStart
        Known starts, in any order.
    """
    if min_position.term > present_term:
        return ResolvedPosition(PositionState.TERM_UNKNOWN, min_position.position)
    ends = [s.position for s in starts if min_position.term < s.term <= present_term]
    end = min(ends, default=min_position.position)
    if min_position.position > end:
        return ResolvedPosition(PositionState.LOST, end)
    return ResolvedPosition(PositionState.COMPARABLE, min_position.position)
