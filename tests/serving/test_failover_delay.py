"""Tests of the order in which holders try to claim, for fleets of any size."""

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
def test_one_holder_tries_at_once_and_all_within_a_limit(names):
    delays = sorted(failover_delay("s", name, names) for name in names)
    assert_that(delays[0], Equals(timedelta(0)))
    assert_that(delays[:DELAY_STEPS_MAX], Equals(_steps(len(names))[:DELAY_STEPS_MAX]))
    assert_that(delays[-1] <= DELAY_STEPS_MAX * DELAY_STEP, Equals(True))


@given(_NAMES)
def test_no_instance_waits_while_the_holders_are_unknown(names):
    for name in names:
        assert_that(failover_delay("s", name, []), Equals(timedelta(0)))


def _steps(count):
    return [index * DELAY_STEP for index in range(count)]
