"""Tests of the suspicions of several instances and of their quorum."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.suspicions import SUSPICION_LIFETIME, Suspicions, quorum

from .row import row
from .test_leadership import ms


def test_quorum_needs_several_instances_in_a_fleet_of_three_or_more():
    # A single instance that is cut off must not start a failover.
    for holder_count in range(3, 100):
        assert_that(quorum(holder_count) > 1, Is(True))
    assert_that(quorum(1), Equals(1))
    assert_that(quorum(6), Equals(3))
    assert_that(quorum(8), Equals(3))


def test_suspicions_expire_or_are_removed():
    suspicions = Suspicions()
    suspicions.replace([row("s/a", 1), row("s/b", 2), row("other/a", 3)], ms(0), 0)
    assert_that(suspicions.suspecting_instances("s", ms(1)), Equals({"a", "b"}))
    suspicions.update([row("s/b", 4, None)], ms(2), 0)
    suspicions.replace([row("s/a", 1)], SUSPICION_LIFETIME, 0)
    assert_that(suspicions.suspecting_instances("s", SUSPICION_LIFETIME), Equals(set()))
