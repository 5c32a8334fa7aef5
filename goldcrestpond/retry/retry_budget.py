"""Retry budget: limits retries to a fraction of the requests and a fixed rate."""

from datetime import timedelta

RETRIES_PER_REQUEST = 0.2  # in the long run, besides the fixed rate
MAX_RETRY_TOKENS = 50.0  # largest burst of retries
RETRY_TOKENS_PER_S = 5.0  # so that a route with few requests can retry some of them


class RetryBudget:
    """Token bucket filled by first attempts and over time; each retry takes a token.

    Parameters
    ----------
    now : timedelta
        Monotonic time.
    """

    __slots__ = ("_filled_at", "_tokens")

    def __init__(self, now: timedelta):
        self._filled_at = now
        self._tokens = MAX_RETRY_TOKENS

    def deposit(self) -> None:
        """Add the tokens of one first attempt."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + RETRIES_PER_REQUEST)

    def try_withdraw(self, now: timedelta) -> bool:
        """Take the token for one retry; return False if there is none."""
        elapsed_s = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(
            MAX_RETRY_TOKENS, self._tokens + elapsed_s * RETRY_TOKENS_PER_S
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
