"""Attempts at one request."""

import random
from datetime import timedelta

from .attempt_outcome import AttemptOutcome
from .backoff import backoff
from .repetition import may_repeat
from .retry_budget import RetryBudget


class RequestAttempts:
    """Decides after each failed attempt whether there is another one.

    Parameters
    ----------
    deadline : timedelta
        Monotonic reading after which no attempt starts.
    is_read_only, is_idempotent : bool
        What the request is declared to be.
    budget : RetryBudget
        Budget of the route.
    rng : random.Random
        Source of jitter.
    """

    __slots__ = (
        "_budget",
        "_deadline",
        "_failed_count",
        "_is_read_only",
        "_is_repeatable",
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
        self._is_repeatable = is_idempotent
        self._budget = budget
        self._rng = rng
        self._failed_count = 0
        budget.note_request()

    def record_failure(
        self, attempt_outcome: AttemptOutcome, now: timedelta
    ) -> timedelta | None:
        """Take in a failed attempt.

        Returns
        -------
        timedelta or None
            Pause before the next attempt; None if there is none, which the
            caller of the request is told at once.
        """
        self._failed_count += 1
        if not may_repeat(attempt_outcome, self._is_read_only, self._is_repeatable):
            return None
        pause = backoff(self._failed_count, self._rng)
        if now + pause >= self._deadline:
            return None
        if not self._budget.take(now):
            return None
        return pause
