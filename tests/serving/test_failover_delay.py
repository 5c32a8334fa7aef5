"""Somebody soon tries, in an order, whatever the size of the fleet."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.serving.failover_delay import (
    DELAY_STEP,
    DELAY_STEPS_MAX,
    failover_delay,
)

_NAMES = st.sets(st.text("abc123", min_size=1, max_size=6), min_size=1, max_size=80)


@given(_NAMES)
def test_one_tries_at_once_and_all_within_a_bound(names):
    pauses = sorted(failover_delay("s", name, names) for name in names)
    assert_that(pauses[0], Equals(timedelta(0)))
    assert_that(pauses[:DELAY_STEPS_MAX], Equals(_steps(len(names))[:DELAY_STEPS_MAX]))
    assert_that(pauses[-1] <= DELAY_STEPS_MAX * DELAY_STEP, Equals(True))


@given(_NAMES)
def test_unknown_holders_keep_nobody_waiting(names):
    for name in names:
        assert_that(failover_delay("s", name, []), Equals(timedelta(0)))


def _steps(count):
    return [index * DELAY_STEP for index in range(count)]
