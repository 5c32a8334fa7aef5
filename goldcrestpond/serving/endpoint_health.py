"""Tracks failures of a database, so that requests avoid it for a while."""

from datetime import timedelta

FAILURES_BEFORE_AVOIDANCE = 2  # a single failure may be that of the connection
INITIAL_AVOIDANCE = timedelta(milliseconds=250)
MAX_AVOIDANCE = timedelta(seconds=2)
# Of a database whose holders pace what they send to it: they refuse what is too much.
MAX_PACED_AVOIDANCE = timedelta(seconds=1)


class EndpointHealth:
    """Consecutive failures of one database.

    An avoided database is used only if no other can serve the request. The time of
    avoidance doubles with each further failure, up to ``MAX_AVOIDANCE``. A success ends
    the avoidance and resets the count.
    """

    __slots__ = ("_avoided_until", "_failures")

    def __init__(self) -> None:
        self._failures = 0
        self._avoided_until = timedelta.min

    def record_success(self) -> None:
        """Record a complete answer."""
        self._failures = 0
        self._avoided_until = timedelta.min

    def record_failure(
        self, now: timedelta, max_avoidance: timedelta = MAX_AVOIDANCE
    ) -> None:
        """Record a connection that failed to open or an answer that did not arrive.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        max_avoidance : timedelta
            Longest time of avoidance after a failure of this kind.
        """
        self._failures += 1
        if self._failures >= FAILURES_BEFORE_AVOIDANCE:
            doublings = min(self._failures - FAILURES_BEFORE_AVOIDANCE, 10)
            avoidance = min(max_avoidance, INITIAL_AVOIDANCE * 2**doublings)
            self._avoided_until = now + avoidance

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether requests should prefer other databases."""
        return now < self._avoided_until
