"""Retry decisions for one request."""

import random
from datetime import timedelta

from .attempt_outcome import AttemptOutcome
from .backoff import draw_backoff
from .may_repeat import may_repeat
from .retry_budget import RetryBudget


class RequestAttempts:
    """Decides after each failed attempt whether to try again.

    Create one object for each request: it adds the tokens of the first attempt to
    the budget.

    Parameters
    ----------
    deadline : timedelta
        Monotonic time after which no attempt starts.
    is_read_only : bool
        Whether the endpoint enforces that the request changes nothing.
    is_idempotent : bool
        Whether the caller declared the request idempotent.
    budget : RetryBudget
        Retry budget of the route.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = (
        "_budget",
        "_deadline",
        "_failed_count",
        "_is_read_only",
        "_is_idempotent",
        "_rng",
    )

    def __init__(
        self,
        deadline: timedelta,
        is_read_only: bool,
        is_idempotent: bool,
        budget: RetryBudget,
        rng: random.Random,
    ):
        self._deadline = deadline
        self._is_read_only = is_read_only
        self._is_idempotent = is_idempotent
        self._budget = budget
        self._rng = rng
        self._failed_count = 0
        budget.deposit()

    def record_failure(
        self, attempt_outcome: AttemptOutcome, now: timedelta
    ) -> timedelta | None:
        """Record a failed attempt and decide on the next one.

        Parameters
        ----------
        attempt_outcome : AttemptOutcome
            Outcome of the attempt.
        now : timedelta
            Monotonic time.

        Returns
        -------
        timedelta or None
            Pause before the next attempt; None if the request must not be tried
            again, so that its caller gets the error at once.
        """
        self._failed_count += 1
        if not may_repeat(attempt_outcome, self._is_read_only, self._is_idempotent):
            return None
        pause = draw_backoff(self._failed_count, self._rng)
        if now + pause >= self._deadline:
            return None
        if not self._budget.try_withdraw(now):
            return None
        return pause
