"""Holds the retry budget of each route in a process."""

import random
from datetime import timedelta

from ..clock.clock import Clock
from ..retry.request_attempts import RequestAttempts
from ..retry.retry_budget import RetryBudget


class RetryBudgets:
    """Retry budgets by route.

    All requests of a route share one budget.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    rng : random.Random
        Source of the jitter of retry delays.
    """

    __slots__ = ("_budgets", "_clock", "_rng")

    def __init__(self, clock: Clock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}

    def start_attempts(
        self, route: str, deadline: timedelta, is_read_only: bool, is_idempotent: bool
    ) -> RequestAttempts:
        """Start tracking the attempts at a new request on a route."""
        budget = self._budgets.get(route)
        if budget is None:
            budget = RetryBudget(self._clock.now())
            self._budgets[route] = budget
        return RequestAttempts(deadline, is_read_only, is_idempotent, budget, self._rng)
