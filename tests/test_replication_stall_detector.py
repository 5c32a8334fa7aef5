"""When a primary is taken to be cut off from its replicas."""

from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.term.group_view import GroupView
from goldcrestpond.term.replication_stall_detector import ReplicationStallDetector
from goldcrestpond.term.status_sample import StatusSample

from .fake_group import make_group


def ms(count):
    return timedelta(milliseconds=count)


def show(view, stall, databases, now):
    for database in databases.values():
        status = database.status()
        view.observe(StatusSample(status, now, now))
        stall.observe(view, now)


def test_slow_start_of_a_term_does_not_lengthen_the_limit():
    databases = make_group()
    view, stall = GroupView(databases), ReplicationStallDetector()
    databases["a"].write(1)
    show(view, stall, databases, ms(0))
    databases["b"].receive(1)
    show(view, stall, databases, ms(390))
    databases["a"].write(2)
    show(view, stall, databases, ms(400))
    show(view, stall, databases, ms(790))
    assert_that(stall.is_stalled(view, ms(790)), Is(False))
    show(view, stall, databases, ms(810))
    assert_that(stall.is_stalled(view, ms(810)), Is(True))


def test_usually_slow_replicas_are_given_more_time():
    databases = make_group()
    view, stall = GroupView(databases), ReplicationStallDetector()
    for number in range(3):
        databases["a"].write(number)
        show(view, stall, databases, ms(1000 * number))
        databases["b"].receive(1)
        show(view, stall, databases, ms(1000 * number + 300))
    databases["a"].write(9)
    show(view, stall, databases, ms(4000))
    show(view, stall, databases, ms(4800))
    assert_that(stall.is_stalled(view, ms(4800)), Is(False))
    show(view, stall, databases, ms(5000))
    assert_that(stall.is_stalled(view, ms(5000)), Is(True))
