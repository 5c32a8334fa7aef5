"""Proofs, samples and epochs of a service's leader."""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis import given
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


def test_proof_of_another_database_begins_an_epoch_without_samples():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    epoch = leadership.epoch
    assert_that(
        leadership.record_leader_verified("b", LogPosition(2, 3), ms(20)), Is(True)
    )
    assert_that(leadership.epoch, Equals(epoch + 1))
    sample = leadership.oldest_sample_since(ms(0))
    assert_that(sample.position, Equals(LogPosition(2, 3)))


def test_late_proof_of_the_former_leader_changes_nothing():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    leadership.record_leader_verified("b", LogPosition(2, 3), ms(20))
    assert_that(
        leadership.record_leader_verified("a", LogPosition(1, 9), ms(15)), Is(False)
    )
    assert_that(leadership.leader_id, Equals("b"))


def test_refusal_of_the_leader_leaves_no_sample():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    assert_that(leadership.record_refusal("a", ms(20)), Is(True))
    assert_that(leadership.newest_sample(), Is(None))
    assert_that(leadership.leader_id, Equals(""))


def test_refusal_of_a_replica_leaves_the_leader():
    leadership = Leadership()
    leadership.record_leader_verified("a", LogPosition(1, 5), ms(10))
    assert_that(leadership.record_refusal("b", ms(20)), Is(False))
    assert_that(leadership.leader_id, Equals("a"))


def test_one_that_refused_is_asked_again_after_a_while():
    leadership = Leadership()
    databases = [database("a", Role.PRIMARY), database("b")]
    leadership.record_refusal("a", ms(0))
    assert_that(leadership.next_to_verify(databases, ms(1)).database_id, Equals("b"))
    leadership.record_refusal("b", ms(2))
    assert_that(leadership.next_to_verify(databases, ms(3)), Is(None))
    later = RECHECK_PAUSE + ms(1)
    assert_that(leadership.next_to_verify(databases, later).database_id, Equals("a"))


def test_presumed_leader_is_the_only_one_that_says_so():
    leadership = Leadership()
    databases = [database("a", Role.PRIMARY), database("b")]
    assert_that(leadership.presumed_leader_id(databases), Equals("a"))
    both = [database("a", Role.PRIMARY), database("b", Role.PRIMARY)]
    assert_that(leadership.presumed_leader_id(both), Equals(""))
    leadership.record_refusal("a", ms(0))
    assert_that(leadership.presumed_leader_id(databases), Equals(""))


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 3)), max_size=60))
def test_a_sample_covers_every_commit_acknowledged_before_it(steps):
    """Whatever is dropped for its spacing, no sample claims too much."""
    leadership = Leadership()
    now, position = 0, 0
    truth = []
    for pause_ms, commits in steps:
        now += pause_ms
        position += commits
        truth.append((ms(now), position))
        leadership.record_leader_verified("a", LogPosition(1, position), ms(now))
    for reading, least in truth:
        sample = leadership.oldest_sample_since(reading)
        if sample is not None:
            assert_that(sample.position.position >= least, Is(True))
    if truth:
        newest = leadership.newest_sample()
        assert_that(newest.sampled_after, Equals(truth[-1][0]))
        assert_that(newest, Not(Is(None)))
