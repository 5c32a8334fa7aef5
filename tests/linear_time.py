"""Check that the time to parse a text grows linearly with its length."""

import time

from testtools.assertions import assert_that
from testtools.matchers import LessThan

SHORT_LENGTH = 1 << 12
LENGTH_RATIO = 16
# For 16 times the length, linear time is about 16 times as long, quadratic time 256.
MAX_TIME_RATIO = 64
# Shorter times are dominated by the clock's resolution and the garbage collector.
MIN_TIME_S = 0.002


def assert_linear_time(read, make_text):
    """Check that the time of ``read(make_text(n))`` is linear in ``n``.

    The short text is checked first, so that a slow parser fails within seconds.
    """
    short_s = _measure_least_s(read, make_text(SHORT_LENGTH))
    assert_that(short_s, LessThan(MAX_TIME_RATIO * MIN_TIME_S), "the short text alone")
    long_s = _measure_least_s(read, make_text(SHORT_LENGTH * LENGTH_RATIO))
    assert_that(long_s, LessThan(MAX_TIME_RATIO * max(short_s, MIN_TIME_S)))


def _measure_least_s(read, text):
    times = []
    for _ in range(3):
        started_s = time.process_time()
        read(text)
        times.append(time.process_time() - started_s)
    return min(times)
