"""Pauses between attempts."""

import random
from datetime import timedelta

BACKOFF_BASE = timedelta(milliseconds=5)
BACKOFF_LIMIT = timedelta(milliseconds=250)
_DOUBLINGS_MAX = 10  # far beyond the limit; keeps the power small


def backoff(attempt: int, rng: random.Random) -> timedelta:
    """Return the pause before an attempt, with full jitter.

    Parameters
    ----------
    attempt : int
        Number of failed attempts so far, from 1.
    rng : random.Random
        Source of randomness.
    """
    exponent = min(attempt - 1, _DOUBLINGS_MAX)
    ceiling = min(BACKOFF_LIMIT, BACKOFF_BASE * 2**exponent)
    return ceiling * rng.random()
