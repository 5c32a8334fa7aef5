"""Commits that wait until a majority of the group holds them."""

import heapq
from itertools import count

from ..group.log_position import LogPosition
from .confirmation import Confirmation
from .confirmation_outcome import ConfirmationOutcome


class ConfirmationQueue:
    """Waiting commits, ordered by log position.

    One status poll settles all commits up to the position that it confirms.
    """

    __slots__ = ("_heap", "_sequence", "_waiting")

    def __init__(self):
        self._heap: list[tuple[LogPosition, int, Confirmation]] = []
        self._sequence = count()
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def add(self, position: LogPosition) -> Confirmation:
        """Enqueue the commit at ``position``."""
        confirmation = Confirmation(position)
        heapq.heappush(self._heap, (position, next(self._sequence), confirmation))
        self._waiting += 1
        return confirmation

    def abandon(self, confirmation: Confirmation) -> None:
        """Mark a commit as abandoned unless its outcome is known already."""
        if confirmation.outcome is None:
            confirmation.outcome = ConfirmationOutcome.ABANDONED
            self._waiting -= 1

    def settle(
        self, first_open_term: int, confirmed: LogPosition | None
    ) -> list[Confirmation]:
        """Set the outcome of the waiting commits and return the settled ones.

        Parameters
        ----------
        first_open_term : int
            Commits of lower terms can no longer be confirmed.
        confirmed : LogPosition or None
            Highest position that a majority holds, with its term.

        Returns
        -------
        list of Confirmation
            Commits that were confirmed or superseded by this call.
        """
        settled = []
        while self._heap:
            position, _, confirmation = self._heap[0]
            outcome = _decide(position, first_open_term, confirmed)
            if confirmation.outcome is None and outcome is None:
                break
            heapq.heappop(self._heap)
            if confirmation.outcome is None:
                confirmation.outcome = outcome
                self._waiting -= 1
                settled.append(confirmation)
        return settled


def _decide(
    position: LogPosition, first_open_term: int, confirmed: LogPosition | None
) -> ConfirmationOutcome | None:
    if position.term < first_open_term:
        return ConfirmationOutcome.SUPERSEDED
    if confirmed is None or position.term != confirmed.term:
        return None
    if position.position <= confirmed.position:
        return ConfirmationOutcome.CONFIRMED
    return None
