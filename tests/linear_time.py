"""How the work of reading a text grows with its length."""

import time

from testtools.assertions import assert_that
from testtools.matchers import LessThan

SHORT = 1 << 12
GROWTH = 16
# Sixteen times the length takes some sixteen times the work; the square is 256.
MOST = 64
# Shorter than this the clock and the garbage collector weigh more than the work.
FLOOR_S = 0.002


def assert_linear_time(read, make_text):
    """Check that ``read(make_text(n))`` takes no more than about n's share.

    The short text goes first, so that a fault shows in seconds.
    """
    short_s = _least_s(read, make_text(SHORT))
    assert_that(short_s, LessThan(MOST * FLOOR_S), "the short text alone")
    long_s = _least_s(read, make_text(SHORT * GROWTH))
    assert_that(long_s, LessThan(MOST * max(short_s, FLOOR_S)))


def _least_s(read, text):
    times = []
    for _ in range(3):
        began = time.process_time()
        read(text)
        times.append(time.process_time() - began)
    return min(times)
