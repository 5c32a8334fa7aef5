"""Suspicions of several instances and their quorum."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.suspicions import SUSPICION_LIFETIME, Suspicions, quorum

from .row import row
from .test_leadership import ms


def test_one_instance_that_is_cut_off_deposes_nobody():
    for members in range(3, 100):
        assert_that(quorum(members) > 1, Is(True))
    assert_that(quorum(1), Equals(1))
    assert_that(quorum(6), Equals(3))
    assert_that(quorum(8), Equals(3))


def test_suspicions_lapse_and_are_withdrawn():
    suspicions = Suspicions()
    suspicions.replace([row("s/a", 1), row("s/b", 2), row("other/a", 3)], ms(0), 0)
    assert_that(suspicions.suspecting_instances("s", ms(1)), Equals({"a", "b"}))
    suspicions.update([row("s/b", 4, None)], ms(2), 0)
    suspicions.replace([row("s/a", 1)], SUSPICION_LIFETIME, 0)
    assert_that(suspicions.suspecting_instances("s", SUSPICION_LIFETIME), Equals(set()))
