"""Usual time of service of a database."""

from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.usual_times import MIN_ANSWERS_COUNT, UsualTimes


def _ms(count):
    return timedelta(milliseconds=count)


def test_a_few_answers_do_not_show_what_is_usual():
    times = UsualTimes()
    for _ in range(MIN_ANSWERS_COUNT - 1):
        times.add(Lane.SHORT, _ms(20))
    assert_that(times.usual(Lane.SHORT), Is(None))
    times.add(Lane.SHORT, _ms(20))
    assert_that(times.usual(Lane.SHORT), Equals(_ms(20)))


def test_lanes_are_kept_apart():
    times = UsualTimes()
    times.add(Lane.SHORT, _ms(10))
    times.add(Lane.AGED, _ms(40))
    assert_that(times.mean(Lane.SHORT), Equals(_ms(10)))
    assert_that(times.mean(Lane.AGED), Equals(_ms(40)))
    assert_that(times.mean(Lane.REPORT), Is(None))


def test_first_answers_count_equally():
    times = UsualTimes()
    for service_time in (10, 20, 60):
        times.add(Lane.SHORT, _ms(service_time))
    assert_that(times.mean(Lane.SHORT), Equals(_ms(30)))
