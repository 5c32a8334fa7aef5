"""Counts refusals between log lines."""

from datetime import timedelta

from .never import NEVER

# Refusals of one kind are logged at once and then at most this often.
REFUSAL_LOG_INTERVAL = timedelta(seconds=1)


class RefusalCount:
    """Refusals of one kind since the last log line about them."""

    __slots__ = ("_count", "_logged_at")

    def __init__(self) -> None:
        self._count = 0
        self._logged_at = NEVER

    def add(self, now: timedelta) -> int:
        """Count a refusal; return how many to log now, or 0."""
        self._count += 1
        if now - self._logged_at < REFUSAL_LOG_INTERVAL:
            return 0
        count, self._count = self._count, 0
        self._logged_at = now
        return count
