"""Decides when this instance starts a promotion."""

import random
from datetime import timedelta

from .group_view import GroupView
from .primary_health import PrimaryHealth
from .promotion_reason import PromotionReason

# The holder of the issued term goes first; others follow if nothing comes of it.
TAKEOVER_DELAY = timedelta(milliseconds=150)
# A promoter that is at work has this long before others go past it.
PROMOTION_LIMIT = timedelta(milliseconds=600)
# A fenced minority does not stop the group: its repair is not urgent.
REPAIR_DELAY = timedelta(seconds=2)
# Instances that judge alike spread their starts over this time.
SPREAD = timedelta(milliseconds=120)


class PromotionSchedule:
    """When and why a promotion is due, as this instance sees its group.

    Parameters
    ----------
    rng : random.Random
        Spreads the starts of several instances.
    """

    __slots__ = ("_highest_term", "_reason", "_rng", "_since", "_spread")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._reason: PromotionReason | None = None
        self._since = timedelta(0)
        self._highest_term = 0
        self._spread = timedelta(0)

    @property
    def reason(self) -> PromotionReason | None:
        """Why a promotion is needed; None if it is not."""
        return self._reason

    def observe(
        self,
        view: GroupView,
        primary_health: PrimaryHealth,
        *,
        is_drained: bool,
        now: timedelta,
    ) -> None:
        """Judge the group anew; a change restarts the wait."""
        reason = _reason(view, primary_health, is_drained=is_drained)
        highest = view.highest_term()
        if reason is self._reason and highest == self._highest_term:
            return
        self._reason = reason
        self._highest_term = highest
        self.restart(now)

    def restart(self, now: timedelta) -> None:
        """Start the wait anew, for instance after an attempt that failed."""
        self._since = now
        self._spread = SPREAD * self._rng.random()

    def due_at(self, *, holds_term: bool, is_other_promoting: bool) -> timedelta | None:
        """Return the reading at which to start; None if no promotion is needed.

        Parameters
        ----------
        holds_term : bool
            Whether the next term was issued to this instance in advance.
        is_other_promoting : bool
            Whether a database has joined a term beyond the primary's.
        """
        if self._reason is None:
            return None
        if self._reason is PromotionReason.SPLIT:
            return self._since + REPAIR_DELAY + self._spread
        if is_other_promoting or self._reason is PromotionReason.VACANT:
            return self._since + PROMOTION_LIMIT + self._spread
        if holds_term:
            return self._since
        return self._since + TAKEOVER_DELAY + self._spread


def _reason(
    view: GroupView, primary_health: PrimaryHealth, *, is_drained: bool
) -> PromotionReason | None:
    primary = view.primary()
    if primary is None:
        is_known = len(view.samples()) >= view.majority
        return PromotionReason.VACANT if is_known else None
    if primary_health is PrimaryHealth.DEAD:
        return PromotionReason.DEAD
    if primary_health is PrimaryHealth.STALLED:
        return PromotionReason.STALLED
    if view.highest_term() > primary.status.term:
        return PromotionReason.SPLIT
    return PromotionReason.DRAIN if is_drained else None
