"""What attempts to replace the leader of a service may have left behind."""

from dataclasses import dataclass, replace
from datetime import timedelta

from .failover import LATE_ORDER_LIMIT

# The owner of a claim uses it only for this time, so it stops before another may claim.
CLAIM_USE_LIMIT = timedelta(milliseconds=2200)
# An order may be carried out for this time after its claim was written.
ORDER_LIFETIME = CLAIM_USE_LIMIT + LATE_ORDER_LIMIT
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class Leftovers:
    """What attempts to replace the leader of a service may have left behind.

    Attributes
    ----------
    pending_since_ms : float or None
        Time on the store's clock of the last claim under which a promotion may have
        been ordered that may still be carried out; None if none may be.
    may_be_paused : bool
        Whether some replica may be paused.
    """

    pending_since_ms: float | None = None
    may_be_paused: bool = False

    @property
    def may_be_pending(self) -> bool:
        """Whether a promotion may still be carried out."""
        return self.pending_since_ms is not None

    def at(self, now_ms: float) -> "Leftovers":
        """Return what may be left at a later time on the store's clock."""
        since_ms = self.pending_since_ms
        if since_ms is None or (now_ms - since_ms) * _MILLISECOND < ORDER_LIFETIME:
            return self
        return replace(self, pending_since_ms=None)

    def __or__(self, other: "Leftovers") -> "Leftovers":
        """Return what may be left of both."""
        times = [
            each.pending_since_ms
            for each in (self, other)
            if each.pending_since_ms is not None
        ]
        return Leftovers(
            max(times, default=None), self.may_be_paused or other.may_be_paused
        )


NOTHING_LEFT = Leftovers()
