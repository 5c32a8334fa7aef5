"""Lease of this instance on its shares of the databases' connections."""

from datetime import timedelta

LEASE_DURATION = timedelta(seconds=30)
RENEWAL_INTERVAL = timedelta(seconds=10)
# The floor is the number of connections that the instance may keep without a lease.
# Without a renewal, those above it are released this long before the lease ends, so
# that the work on them can finish in time.
_EARLY_RELEASE = timedelta(seconds=10)


class InstanceLease:
    """Lease of one instance, renewed by writing the instance's row in the table.

    The instance itself counts the lease from before the renewal was sent, on its own
    monotonic clock. Other instances count it from when they first received the
    renewed row, which is never earlier.

    Attributes
    ----------
    generation : int
        Number of times that the lease was acquired while it was not held.
    """

    __slots__ = ("_sent_at", "_usable_until", "generation")

    def __init__(self) -> None:
        self._sent_at = timedelta(0)
        self._usable_until: timedelta | None = None
        self.generation = 0

    def is_held(self, now: timedelta) -> bool:
        """Return whether connections above the floor may be used."""
        return self._usable_until is not None and now < self._usable_until

    def is_renewal_due(self, now: timedelta) -> bool:
        """Return whether a renewal should be sent."""
        return not self.is_held(now) or now >= self._sent_at + RENEWAL_INTERVAL

    def record_renewal(self, sent_at: timedelta) -> None:
        """Record that a renewal that was sent at ``sent_at`` has succeeded."""
        if not self.is_held(sent_at):
            self.generation += 1
        self._sent_at = sent_at
        self._usable_until = sent_at + LEASE_DURATION - _EARLY_RELEASE
