"""Pauses between attempts."""

import random
from datetime import timedelta

BASE_BACKOFF = timedelta(milliseconds=5)
MAX_BACKOFF = timedelta(milliseconds=250)
_MAX_DOUBLINGS = 10  # keeps the power small; MAX_BACKOFF is reached earlier


def draw_backoff(failed_count: int, rng: random.Random) -> timedelta:
    """Return the pause before the next attempt: exponential, with full jitter.

    Parameters
    ----------
    failed_count : int
        Number of failed attempts so far, at least 1.
    rng : random.Random
        Source of jitter.
    """
    exponent = min(failed_count - 1, _MAX_DOUBLINGS)
    ceiling = min(MAX_BACKOFF, BASE_BACKOFF * 2**exponent)
    return ceiling * rng.random()
