"""Avoidance of databases that fail."""

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.serving.endpoint_health import INITIAL_AVOIDANCE, EndpointHealth

from .test_leadership import ms


def test_two_consecutive_failures_make_requests_avoid_a_database():
    health = EndpointHealth()
    health.record_failure(ms(0))
    assert_that(health.is_avoided(ms(1)), Is(False))
    health.record_failure(ms(2))
    assert_that(health.is_avoided(ms(3)), Is(True))
    assert_that(health.is_avoided(ms(2) + INITIAL_AVOIDANCE), Is(False))
    health.record_failure(ms(300))
    health.record_success()
    assert_that(health.is_avoided(ms(301)), Is(False))
