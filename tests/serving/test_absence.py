"""When a home is marked absent."""

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.serving.absence import (
    ABSENT_AFTER,
    ABSENT_AFTER_WITHOUT_STANDBY,
    ABSENT_MIN,
    may_clear,
    should_mark,
)

from .test_leadership import ms


# Failure: a home stalls for a moment; moving its organisations would cost more.
def test_home_is_marked_only_after_its_probes_failed_for_a_while():
    assert_that(should_mark(None, True), Is(False))
    assert_that(should_mark(ABSENT_AFTER - ms(1), True), Is(False))
    assert_that(should_mark(ABSENT_AFTER, True), Is(True))


# Failure: home and standby are lost together.
def test_others_mark_a_home_that_its_standby_has_not_marked():
    assert_that(should_mark(ABSENT_AFTER_WITHOUT_STANDBY - ms(1), False), Is(False))
    assert_that(should_mark(ABSENT_AFTER_WITHOUT_STANDBY, False), Is(True))


def test_mark_stays_for_a_minimum_time():
    assert_that(may_clear(None, ABSENT_MIN * 9), Is(False))
    assert_that(may_clear(ms(5), ABSENT_MIN), Is(False))
    assert_that(may_clear(ms(5), ABSENT_MIN + ms(5)), Is(True))
