"""Bounds repetitions to a share of the requests."""

from datetime import timedelta

BUDGET_RATIO = 0.2  # repetitions for each request, in the long run
BUDGET_LIMIT = 50.0  # repetitions that a failure may cause at once
BUDGET_REFILL_PER_S = 5.0  # so that a route with few requests can repeat some


class RetryBudget:
    """Token bucket that requests and time fill and repetitions empty.

    Parameters
    ----------
    now : timedelta
        Monotonic reading.
    """

    __slots__ = ("_filled_at", "_tokens")

    def __init__(self, now: timedelta):
        self._filled_at = now
        self._tokens = BUDGET_LIMIT

    def note_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(BUDGET_LIMIT, self._tokens + BUDGET_RATIO)

    def take(self, now: timedelta) -> bool:
        """Take one repetition; return False if there is none to take."""
        elapsed_s = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(BUDGET_LIMIT, self._tokens + elapsed_s * BUDGET_REFILL_PER_S)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
