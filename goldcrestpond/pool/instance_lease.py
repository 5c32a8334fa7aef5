"""The lease of this instance on all that it holds."""

from datetime import timedelta

LEASE_DURATION = timedelta(seconds=30)
RENEWAL_INTERVAL = timedelta(seconds=10)
# Without a renewal, connections above the floor are given up this early, so
# that what runs on them can end before the lease does.
_RETREAT_LEAD = timedelta(seconds=10)


class InstanceLease:
    """One row per instance, which its holder renews.

    The lease counts from before its write was sent, on the holder's own
    monotonic clock. Whoever observes it counts from when an answer first
    showed the renewal, which is never earlier.
    """

    __slots__ = ("_retreat_at", "_sent_at", "generation")

    def __init__(self) -> None:
        self._sent_at = timedelta(0)
        self._retreat_at: timedelta | None = None
        self.generation = 0

    def is_held(self, now: timedelta) -> bool:
        """Tell whether connections above the floor may be used."""
        return self._retreat_at is not None and now < self._retreat_at

    def is_renewal_due(self, now: timedelta) -> bool:
        """Tell whether a renewal should be sent."""
        return not self.is_held(now) or now >= self._sent_at + RENEWAL_INTERVAL

    def record_renewal(self, sent_at: timedelta) -> None:
        """Take the answer to a renewal that was sent at ``sent_at``."""
        if not self.is_held(sent_at):
            self.generation += 1
        self._sent_at = sent_at
        self._retreat_at = sent_at + LEASE_DURATION - _RETREAT_LEAD
