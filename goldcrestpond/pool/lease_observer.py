"""Judges the leases of other instances."""

from datetime import timedelta

from .instance_lease import LEASE_DURATION

# Clocks of instances run at rates that differ by less than this.
_CLOCK_DRIFT = 0.05
# The platform's list lags by less than this; an instance that it has dropped
# and that has renewed nothing for so long has ended.
_LIST_LAG = timedelta(minutes=5)


class LeaseObserver:
    """What this instance has seen of the others' renewals."""

    __slots__ = ("_read_sent_at", "_seen")

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, timedelta]] = {}
        self._read_sent_at = timedelta(0)

    def observe(self, name: str, revision: int, answered_at: timedelta) -> None:
        """Note the revision of an instance's lease row; 0 if it has none."""
        seen = self._seen.get(name)
        if seen is None or seen[0] != revision:
            self._seen[name] = (revision, answered_at)

    def record_read(self, sent_at: timedelta) -> None:
        """Note that all rows were as observed at some time after ``sent_at``."""
        self._read_sent_at = max(self._read_sent_at, sent_at)

    def has_lapsed(self, name: str) -> bool:
        """Tell whether an instance's lease has certainly ended."""
        return self._quiet_for(name) > LEASE_DURATION * (1 + _CLOCK_DRIFT)

    def has_ended(self, name: str, listed: frozenset[str]) -> bool:
        """Tell whether an instance holds nothing at all any more."""
        if name in listed:
            return False
        return self._quiet_for(name) > LEASE_DURATION + _LIST_LAG

    def _quiet_for(self, name: str) -> timedelta:
        seen = self._seen.get(name)
        return self._read_sent_at - seen[1] if seen else timedelta(0)
