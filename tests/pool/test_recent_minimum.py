from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.pool.recent_minimum import RecentMinimum

SPAN = timedelta(seconds=10)


def seconds(number):
    return timedelta(seconds=number)


def test_minimum_is_kept_for_a_span():
    minimum = RecentMinimum(SPAN)
    minimum.add(seconds(1), seconds(0))
    assert_that(minimum.add(seconds(3), seconds(9)), Equals(seconds(1)))


def test_minimum_is_forgotten_after_two_spans():
    minimum = RecentMinimum(SPAN)
    minimum.add(seconds(1), seconds(0))
    minimum.add(seconds(3), seconds(10))
    assert_that(minimum.add(seconds(4), seconds(20)), Equals(seconds(3)))


def test_values_before_a_long_pause_are_forgotten():
    minimum = RecentMinimum(SPAN)
    minimum.add(seconds(1), seconds(0))
    assert_that(minimum.add(seconds(4), seconds(30)), Equals(seconds(4)))


# Failure: a clock that counts the days since the machine started overflows a span.
def test_minimum_on_a_machine_that_runs_for_long():
    minimum = RecentMinimum(SPAN)
    now = timedelta(days=400)
    minimum.add(seconds(1), now)
    assert_that(minimum.add(seconds(2), now + seconds(1)), Equals(seconds(1)))
    assert_that(minimum.add(seconds(2), now + seconds(20)), Equals(seconds(2)))


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 100)), min_size=1))
def test_minimum_lies_between_that_of_one_span_and_of_two(steps):
    minimum = RecentMinimum(SPAN)
    now, values = 0, []
    for pause, value in steps:
        now += pause
        values.append((now, value))
        found = minimum.add(seconds(value), seconds(now)).total_seconds()
        assert found <= min(v for at, v in values if now - at < 1)
        assert found >= min(v for at, v in values if now - at < 21)
