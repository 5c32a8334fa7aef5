"""When the holders of a database that was just listed begin."""

from collections import Counter

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.pool.compute_start_delay import (
    HOLDERS_DOUBLING_TIME,
    MAX_START_DELAY,
    compute_start_delay,
)


# Guards against: each of many holders sends its first operations at once.
def test_number_of_holders_that_have_begun_doubles():
    delays = Counter(compute_start_delay(rank) for rank in range(16))
    steps = [delays[HOLDERS_DOUBLING_TIME * step] for step in range(4)]
    assert_that(steps, Equals([2, 2, 4, 8]))


def test_start_delay_is_bounded():
    assert_that(max(map(compute_start_delay, range(1000))), Equals(MAX_START_DELAY))
