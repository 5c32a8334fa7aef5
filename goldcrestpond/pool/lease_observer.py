"""Observation of the leases of other instances."""

from datetime import timedelta

from .instance_lease import LEASE_DURATION

# The clock rates of two instances differ by less than this fraction.
_MAX_CLOCK_DRIFT = 0.05
# The platform's instance list is at most this old. An instance has ended if it is not
# listed and its lease has not been renewed for this time plus the lease's duration.
_MAX_LIST_LAG = timedelta(minutes=5)


class LeaseObserver:
    """Tracks when the leases of other instances were last seen to change."""

    __slots__ = ("_last_changes", "_read_sent_at")

    def __init__(self) -> None:
        # For each instance, the revision of its lease row and when it was received.
        self._last_changes: dict[str, tuple[int, timedelta]] = {}
        self._read_sent_at = timedelta(0)

    def observe(self, name: str, revision: int, answered_at: timedelta) -> None:
        """Record the revision of an instance's lease row.

        Parameters
        ----------
        name : str
            Name of the instance.
        revision : int
            Revision of its lease row; 0 if it has none.
        answered_at : timedelta
            Monotonic time at which the answer to the read arrived.
        """
        last_change = self._last_changes.get(name)
        if last_change is None or last_change[0] != revision:
            self._last_changes[name] = (revision, answered_at)

    def record_read(self, sent_at: timedelta) -> None:
        """Record that a read sent at ``sent_at`` returned all observed rows."""
        self._read_sent_at = max(self._read_sent_at, sent_at)

    def has_lapsed(self, name: str) -> bool:
        """Return whether an instance's lease has certainly expired."""
        return self._unchanged_for(name) > LEASE_DURATION * (1 + _MAX_CLOCK_DRIFT)

    def has_ended(self, name: str, listed: frozenset[str]) -> bool:
        """Return whether an instance has certainly no connection open any more.

        Parameters
        ----------
        name : str
            Name of the instance.
        listed : frozenset of str
            Names of the instances in the platform's list.
        """
        if name in listed:
            return False
        return self._unchanged_for(name) > LEASE_DURATION + _MAX_LIST_LAG

    def _unchanged_for(self, name: str) -> timedelta:
        last_change = self._last_changes.get(name)
        return self._read_sent_at - last_change[1] if last_change else timedelta(0)
