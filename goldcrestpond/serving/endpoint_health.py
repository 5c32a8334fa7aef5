"""Whether a database is worth asking, by what requests have met."""

from datetime import timedelta

FAILURES_TO_AVOID = 2  # one may be the connection's fault
AVOID_FIRST = timedelta(milliseconds=250)
AVOID_LIMIT = timedelta(seconds=2)


class EndpointHealth:
    """Failures of one database in a row.

    An avoided database is used only where no other can serve; after the
    avoidance one request tries it again.
    """

    __slots__ = ("_avoid_until", "_failures")

    def __init__(self) -> None:
        self._failures = 0
        self._avoid_until = timedelta.min

    def record_success(self) -> None:
        """Take in a whole answer."""
        self._failures = 0
        self._avoid_until = timedelta.min

    def record_failure(self, now: timedelta) -> None:
        """Take in a connection or an answer that did not come about."""
        self._failures += 1
        if self._failures >= FAILURES_TO_AVOID:
            doublings = min(self._failures - FAILURES_TO_AVOID, 10)
            pause = min(AVOID_LIMIT, AVOID_FIRST * 2**doublings)
            self._avoid_until = now + pause

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether others are to be preferred."""
        return now < self._avoid_until
