"""The position that a read must show, by policy."""

from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.leadership import Leadership
from goldcrestpond.serving.min_position import (
    SessionCommit,
    earliest_sample_time,
    find_min_position,
)
from goldcrestpond.serving.route import ReadPolicy, Route


def ms(count):
    return timedelta(milliseconds=count)


def route(policy, max_age_ms=0):
    return Route("d", "s", policy, ms(max_age_ms), ms(1000), ms(200), 1)


@pytest.fixture
def leadership():
    made = Leadership()
    for reading, number in ((100, 1), (500, 2), (900, 3)):
        made.record_leader_verified("a", LogPosition(1, number), ms(reading))
    return made


def test_current_read_needs_a_sample_asked_for_after_it_arrived(leadership):
    since = earliest_sample_time(route(ReadPolicy.CURRENT), ms(901))
    assert_that(find_min_position(leadership, since, None), Is(None))
    leadership.record_leader_verified("a", LogPosition(1, 4), ms(902))
    assert_that(find_min_position(leadership, since, None), Equals(LogPosition(1, 4)))


def test_bounded_read_takes_the_oldest_sample_of_its_age(leadership):
    since = earliest_sample_time(route(ReadPolicy.BOUNDED, 600), ms(1000))
    assert_that(find_min_position(leadership, since, None), Equals(LogPosition(1, 2)))


def test_own_commit_raises_the_floor(leadership):
    last_commit = SessionCommit(LogPosition(1, 9), leadership.epoch)
    assert_that(
        find_min_position(leadership, ms(0), last_commit), Equals(LogPosition(1, 9))
    )
    old = SessionCommit(LogPosition(1, 0), leadership.epoch)
    assert_that(find_min_position(leadership, ms(0), old), Equals(LogPosition(1, 1)))


def test_own_commit_of_a_former_epoch_needs_a_sample_of_the_present_one(leadership):
    last_commit = SessionCommit(LogPosition(1, 9), leadership.epoch)
    leadership.record_refusal("a", ms(1000))
    assert_that(find_min_position(leadership, ms(0), last_commit), Is(None))
    leadership.record_leader_verified("b", LogPosition(2, 7), ms(1100))
    # A number of another term says nothing: 9 of term 1 may have become 7 of 2.
    assert_that(
        find_min_position(leadership, ms(0), last_commit), Equals(LogPosition(2, 7))
    )
