"""Which share of a rate an instance may spend, from the shares it was given."""

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from .handover import TableVersion
from .never import NEVER

# The two oldest views are merged into one with the lower share beyond this number.
VIEW_LIMIT_COUNT = 16


class _View(NamedTuple):
    """A share and when the members' table began to give it.

    That was after ``after``, when the former view was still known to be current, and
    not after ``learned_at``.
    """

    share: float
    after: timedelta
    learned_at: timedelta


class ShareHistory:
    """Shares that states of the members' table gave to this instance.

    An instance may spend at a time the share that the table gave it ``proof_limit``
    before, since nobody spends by a state that is older. All instances then spend by
    the same state, whose shares add up to at most 1. Between two states that were
    observed, the lower share counts.

    Attributes
    ----------
    current : float
        Share by the newest state.
    gained_version : tuple of int or None
        First observed state of the table that gave the current share, if the one
        before gave a lower one and both are known to belong together.
    """

    __slots__ = ("_views", "current", "gained_version")

    def __init__(self) -> None:
        self._views = deque([_View(0, NEVER, NEVER)])
        self.current: float = 0
        self.gained_version: TableVersion | None = None

    @property
    def is_settled(self) -> bool:
        """Whether the share no longer depends on the time."""
        return len(self._views) == 1

    def record(
        self,
        share: float,
        after: timedelta,
        learned_at: timedelta,
        version: TableVersion | None,
    ) -> None:
        """Record the share by a new state of the table.

        Parameters
        ----------
        share : float
            Share of this instance, 0 to 1.
        after : timedelta
            Time at which the former state was still known to be current.
        learned_at : timedelta
            Time at which the new state was learned.
        version : tuple of int or None
            The new state; None if unknown.
        """
        if share == self.current:
            return
        self.gained_version = version if share > self.current else None
        self.current = share
        self._views.append(_View(share, after, learned_at))
        if len(self._views) > VIEW_LIMIT_COUNT:
            oldest, second = self._views.popleft(), self._views.popleft()
            share = min(oldest.share, second.share)
            self._views.appendleft(_View(share, oldest.after, oldest.learned_at))

    def share_between(self, earliest: timedelta, latest: timedelta) -> float:
        """Return the lowest share that the table may have given between two times.

        Views before ``earliest`` are forgotten; it must never go back.
        """
        views = self._views
        while len(views) > 1 and views[1].learned_at < earliest:
            views.popleft()
        return min(
            view.share
            for index, view in enumerate(views)
            if index == 0 or view.after < latest
        )

    def begins_at(self) -> timedelta:
        """Return when the newest state was learned."""
        return self._views[-1].learned_at

    def restart(self, now: timedelta) -> None:
        """Begin the current share anew, as if it were learned now."""
        self._views.clear()
        self._views.append(_View(0, NEVER, NEVER))
        self.gained_version = None
        if self.current:
            self._views.append(_View(self.current, now, now))

    def begin(self, share: float) -> None:
        """Begin a share, up to the current one, at once."""
        newest = self._views[-1]
        self._views.clear()
        self._views.append(_View(share, NEVER, NEVER))
        self.gained_version = None
        if share < self.current:
            self._views.append(newest)
