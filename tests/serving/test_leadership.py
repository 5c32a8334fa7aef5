"""Tests of verified leaders, their samples and epochs."""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis import example, given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.serving.database import Database
from goldcrestpond.serving.leadership import RECHECK_PAUSE, Leadership
from goldcrestpond.settings.address import Address


def ms(count):
    return timedelta(milliseconds=count)


def database(database_id, role=Role.REPLICA):
    address = Address("127.0.0.1", 1)
    return Database(database_id, "s", address, "z", 5, False, role, 0, 0)


def test_new_leader_begins_an_epoch_without_earlier_samples():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    epoch = leadership.epoch
    assert_that(
        leadership.record_leader_verified("b", LogPosition(2, 3), ms(20)), Is(True)
    )
    assert_that(leadership.epoch, Equals(epoch + 1))
    sample = leadership.oldest_sample_since(ms(0))
    assert_that(sample.position, Equals(LogPosition(2, 3)))


def test_late_result_for_the_previous_leader_is_ignored():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    leadership.record_leader_verified("b", LogPosition(2, 3), ms(20))
    assert_that(
        leadership.record_leader_verified("a", LogPosition(1, 9), ms(15)), Is(False)
    )
    assert_that(leadership.leader_id, Equals("b"))


def test_refusal_by_the_leader_clears_the_samples():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    assert_that(leadership.record_refusal("a", ms(20)), Is(True))
    assert_that(leadership.newest_sample(), Is(None))
    assert_that(leadership.leader_id, Equals(""))


def test_refusal_by_a_replica_keeps_the_leader():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    assert_that(leadership.record_refusal("b", ms(20)), Is(False))
    assert_that(leadership.leader_id, Equals("a"))


def test_database_that_refused_is_checked_again_after_a_pause():
    leadership = Leadership()
    databases = [database("a", Role.PRIMARY), database("b")]
    leadership.record_refusal("a", ms(0))
    assert_that(leadership.next_to_verify(databases, ms(1)).database_id, Equals("b"))
    leadership.record_refusal("b", ms(2))
    assert_that(leadership.next_to_verify(databases, ms(3)), Is(None))
    later = RECHECK_PAUSE + ms(1)
    assert_that(leadership.next_to_verify(databases, later).database_id, Equals("a"))


def test_presumed_leader_is_the_only_listed_primary():
    leadership = Leadership()
    databases = [database("a", Role.PRIMARY), database("b")]
    assert_that(leadership.presumed_leader_id(databases), Equals("a"))
    both = [database("a", Role.PRIMARY), database("b", Role.PRIMARY)]
    assert_that(leadership.presumed_leader_id(both), Equals(""))
    leadership.record_refusal("a", ms(0))
    assert_that(leadership.presumed_leader_id(databases), Equals(""))


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3)), max_size=60))
@example([(0, 0), (0, 1)])
def test_a_sample_covers_every_commit_acknowledged_before_it(steps):
    """Samples are dropped for their spacing; the remaining ones stay correct."""
    leadership = Leadership()
    now, position = 0, 0
    acknowledged = []
    for pause_ms, commits in steps:
        now += pause_ms
        position += commits
        acknowledged.append((ms(now), position))
        leadership.record_leader_verified("a", LogPosition(1, position), ms(now))
    for read_at, min_position in acknowledged:
        sample = leadership.oldest_sample_since(read_at)
        if sample is not None:
            assert_that(sample.position.position >= min_position, Is(True))
    if acknowledged:
        newest = leadership.newest_sample()
        assert_that(newest.sampled_after, Equals(acknowledged[-1][0]))
        assert_that(newest, Not(Is(None)))
