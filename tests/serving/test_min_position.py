"""The least log position that a read must show, by policy."""

from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.leadership import Leadership
from goldcrestpond.serving.min_position import (
    compute_earliest_sample_time,
    find_min_position,
)
from goldcrestpond.serving.route import ReadPolicy, Route


def ms(count):
    return timedelta(milliseconds=count)


def route(policy, max_age_ms=0):
    return Route("d", "s", policy, ms(max_age_ms), ms(1000), ms(200), 1)


@pytest.fixture
def leadership():
    leadership = Leadership()
    for asked_at_ms, number in ((100, 1), (500, 2), (900, 3)):
        leadership.record_leader_verified("a", LogPosition(1, number), ms(asked_at_ms))
    return leadership


def test_current_read_needs_a_sample_requested_after_it_arrived(leadership):
    since = compute_earliest_sample_time(route(ReadPolicy.CURRENT), ms(901))
    assert_that(find_min_position(leadership, since, None), Is(None))
    leadership.record_leader_verified("a", LogPosition(1, 4), ms(902))
    assert_that(find_min_position(leadership, since, None), Equals(LogPosition(1, 4)))


def test_bounded_read_uses_the_oldest_sample_within_its_maximum_age(leadership):
    since = compute_earliest_sample_time(route(ReadPolicy.BOUNDED, 600), ms(1000))
    assert_that(find_min_position(leadership, since, None), Equals(LogPosition(1, 2)))


def test_last_commit_of_the_session_raises_the_minimum_position(leadership):
    last_commit = LogPosition(1, 9)
    assert_that(
        find_min_position(leadership, ms(0), last_commit), Equals(LogPosition(1, 9))
    )
    old = LogPosition(1, 0)
    assert_that(find_min_position(leadership, ms(0), old), Equals(LogPosition(1, 1)))


def test_commit_of_an_earlier_epoch_needs_a_sample_of_the_current_epoch(leadership):
    last_commit = LogPosition(1, 9)
    leadership.record_refusal("a", ms(1000))
    assert_that(find_min_position(leadership, ms(0), last_commit), Is(None))
    leadership.record_leader_verified("b", LogPosition(2, 7), ms(1100))
    # Positions of two terms cannot be compared: the commit at 9 in term 1 may be at 7
    # in term 2.
    assert_that(
        find_min_position(leadership, ms(0), last_commit), Equals(LogPosition(2, 7))
    )
