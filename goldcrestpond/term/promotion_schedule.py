"""Decides when this instance starts a promotion."""

import random
from datetime import timedelta

from .group_view import GroupView
from .primary_health import PrimaryHealth
from .promotion_reason import PromotionReason

# The instance that the next term was issued to starts at once, others this later.
TAKEOVER_DELAY = timedelta(milliseconds=150)
# Time that a running promotion is given before another instance starts one.
PROMOTION_LIMIT = timedelta(milliseconds=600)
# A fenced minority does not stop writes, so its repair is not urgent.
REPAIR_DELAY = timedelta(seconds=2)
# Instances delay their starts by a random part of this, to avoid collisions.
START_SPREAD = timedelta(milliseconds=120)


class PromotionSchedule:
    """Decides when and why this instance starts a promotion in a group.

    Parameters
    ----------
    rng : random.Random
        Source of the random part of the delay.
    """

    __slots__ = ("_highest_term", "_reason", "_rng", "_spread", "_wait_started_at")

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._reason: PromotionReason | None = None
        self._wait_started_at = timedelta(0)
        self._highest_term = 0
        self._spread = timedelta(0)

    @property
    def reason(self) -> PromotionReason | None:
        """Why a promotion is needed, None if it is not."""
        return self._reason

    def observe(
        self,
        view: GroupView,
        primary_health: PrimaryHealth,
        *,
        is_drained: bool,
        now: timedelta,
    ) -> None:
        """Update the reason; a change of it or of the highest term restarts the wait.

        Parameters
        ----------
        view : GroupView
            Newest statuses.
        primary_health : PrimaryHealth
            Health of the primary.
        is_drained : bool
            Whether the primary is to be replaced because it drains.
        now : timedelta
            Monotonic time.
        """
        reason = _find_reason(view, primary_health, is_drained=is_drained)
        highest = view.highest_term()
        if reason is self._reason and highest == self._highest_term:
            return
        self._reason = reason
        self._highest_term = highest
        self.restart(now)

    def restart(self, now: timedelta) -> None:
        """Restart the wait, for instance after a failed promotion."""
        self._wait_started_at = now
        self._spread = START_SPREAD * self._rng.random()

    def due_at(self, *, holds_term: bool, is_other_promoting: bool) -> timedelta | None:
        """Return the time at which to start, None if no promotion is needed.

        Parameters
        ----------
        holds_term : bool
            Whether the next term was issued to this instance in advance.
        is_other_promoting : bool
            Whether a database has joined a term above the primary's, so that
            another promoter may be running.

        Returns
        -------
        timedelta or None
            Monotonic time.
        """
        if self._reason is None:
            return None
        if self._reason is PromotionReason.SPLIT:
            return self._wait_started_at + REPAIR_DELAY + self._spread
        if is_other_promoting or self._reason is PromotionReason.VACANT:
            return self._wait_started_at + PROMOTION_LIMIT + self._spread
        if holds_term:
            return self._wait_started_at
        return self._wait_started_at + TAKEOVER_DELAY + self._spread


def _find_reason(
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
