"""When a primary counts as cut off from its replicas."""

from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.term.group_view import GroupView
from goldcrestpond.term.replication_stall_detector import ReplicationStallDetector
from goldcrestpond.term.status_sample import StatusSample

from .fake_group import make_group


def ms(count):
    return timedelta(milliseconds=count)


def poll_all(view, detector, databases, now):
    for database in databases.values():
        status = database.status()
        view.observe(StatusSample(status, now, now))
        detector.observe(view, now)


# Guards against late detection of a detector because replicas took long to follow a
# new primary.
def test_slow_first_replication_of_a_term_does_not_raise_the_limit():
    databases = make_group()
    view, detector = GroupView(databases), ReplicationStallDetector()
    databases["a"].write(1)
    poll_all(view, detector, databases, ms(0))
    databases["b"].receive(1)
    poll_all(view, detector, databases, ms(390))
    databases["a"].write(2)
    poll_all(view, detector, databases, ms(400))
    poll_all(view, detector, databases, ms(790))
    assert_that(detector.is_stalled(view, ms(790)), Is(False))
    poll_all(view, detector, databases, ms(810))
    assert_that(detector.is_stalled(view, ms(810)), Is(True))


# Guards against a needless promotion in a group whose replication is always slow.
def test_limit_is_higher_if_replication_is_typically_slow():
    databases = make_group()
    view, detector = GroupView(databases), ReplicationStallDetector()
    for number in range(3):
        databases["a"].write(number)
        poll_all(view, detector, databases, ms(1000 * number))
        databases["b"].receive(1)
        poll_all(view, detector, databases, ms(1000 * number + 300))
    databases["a"].write(9)
    poll_all(view, detector, databases, ms(4000))
    poll_all(view, detector, databases, ms(4800))
    assert_that(detector.is_stalled(view, ms(4800)), Is(False))
    poll_all(view, detector, databases, ms(5000))
    assert_that(detector.is_stalled(view, ms(5000)), Is(True))
