"""Shares, health, progress of replicas, alignment and suspicions."""

import random
from datetime import timedelta

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Raises

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.align_link import values_to_set
from goldcrestpond.serving.choose_database import (
    LEADER_RESERVE,
    ReadCandidate,
    choose_database,
)
from goldcrestpond.serving.connection_share import (
    LEADER_PROOF_CONNECTIONS,
    SUCCESSION_RESERVE,
    connection_share,
    holder_count,
)
from goldcrestpond.serving.endpoint_health import AVOID_FIRST, EndpointHealth
from goldcrestpond.serving.members import (
    HEARTBEAT,
    MISSED_HEARTBEATS,
    Member,
    Members,
    encode_member,
)
from goldcrestpond.serving.replica_progress import BACKOFF_FIRST, ReplicaProgress
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.shape import Shape
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.suspicions import LIFETIME, Suspicions, quorum
from goldcrestpond.settings.address import Address

from .test_leadership import ms


@given(st.integers(5, 400), st.integers(1, 300))
def test_shares_and_proofs_of_all_holders_stay_below_the_limit(limit, members):
    holders = holder_count(limit, members)
    share = connection_share(limit, holders)
    assert_that(1 <= holders <= members, Is(True))
    assert_that(share >= 1, Is(True))
    used = (share + LEADER_PROOF_CONNECTIONS) * holders
    assert_that(used <= limit - SUCCESSION_RESERVE, Is(True))


def test_small_site_holds_everywhere_and_a_large_one_in_a_few_places():
    assert_that(holder_count(34, 8), Equals(8))
    assert_that(holder_count(38, 6), Equals(6))
    assert_that(holder_count(48, 61), Equals(6))
    assert_that(holder_count(156, 71), Equals(21))


def test_one_failure_does_not_shun_a_database():
    health = EndpointHealth()
    health.failed(ms(0))
    assert_that(health.is_avoided(ms(1)), Is(False))
    health.failed(ms(2))
    assert_that(health.is_avoided(ms(3)), Is(True))
    assert_that(health.is_avoided(ms(2) + AVOID_FIRST), Is(False))
    health.failed(ms(300))
    health.succeeded()
    assert_that(health.is_avoided(ms(301)), Is(False))


def test_lagging_replica_is_left_alone_for_floors_that_it_lacks():
    progress = ReplicaProgress()
    progress.answered(LogPosition(1, 5), epoch=1)
    progress.lagged(LogPosition(1, 6), 1, ms(0))
    assert_that(progress.may_have(LogPosition(1, 5), 1, ms(1)), Is(True))
    assert_that(progress.may_have(LogPosition(1, 6), 1, ms(1)), Is(False))
    assert_that(progress.may_have(LogPosition(1, 6), 1, BACKOFF_FIRST), Is(True))


def test_position_of_a_former_epoch_proves_nothing():
    progress = ReplicaProgress()
    progress.answered(LogPosition(1, 9), epoch=1)
    progress.lagged(LogPosition(2, 5), 2, ms(0))
    assert_that(progress.may_have(LogPosition(2, 5), 2, ms(1)), Is(False))


def candidate(database_id, wait_ms=0, leads=False, has_floor=True, avoided=False):
    return ReadCandidate(database_id, ms(wait_ms), leads, has_floor, avoided)


def test_replica_is_preferred_until_the_leader_is_much_faster():
    rng = random.Random(1)
    leader = candidate("l", leads=True)
    just_slower = candidate("r", wait_ms=LEADER_RESERVE / ms(1) - 1)
    assert_that(choose_database([leader, just_slower], rng), Is(just_slower))
    slow = candidate("r", wait_ms=LEADER_RESERVE / ms(1) + 1)
    assert_that(choose_database([leader, slow], rng), Is(leader))


def test_avoided_database_serves_only_where_no_other_can():
    rng = random.Random(1)
    avoided = candidate("a", avoided=True)
    slow = candidate("b", wait_ms=400)
    assert_that(choose_database([avoided, slow], rng), Is(slow))
    assert_that(choose_database([avoided], rng), Is(avoided))
    assert_that(choose_database([], rng), Is(None))


def test_values_are_set_or_reset():
    assert_that(values_to_set({"a": "1"}, {"a": "1"}), Equals({}))
    assert_that(
        values_to_set({"a": "1"}, {"a": "2", "b": "3"}), Equals({"a": "2", "b": "3"})
    )
    assert_that(values_to_set({"a": "1"}, {}), Is(None))


def test_session_remembers_values_and_shapes():
    session = SessionState()
    session.apply(Statement("1", StatementKind.SET, "", "v", "1"))
    session.apply(Statement("2", StatementKind.PREPARE, "", "s", "q", is_write=True))
    assert_that(session.values, Equals({"v": "1"}))
    assert_that(session.shape_of("s"), Equals(Shape(True, "q")))
    execution = Statement("3", StatementKind.EXECUTE, "", "s", "a")
    assert_that(session.is_write(execution), Is(True))
    session.apply(Statement("4", StatementKind.DEALLOCATE, "", "s"))
    assert_that(lambda: session.shape_of("s"), Raises())


def test_dropping_an_unknown_name_is_an_error():
    with pytest.raises(CodedError):
        SessionState().apply(Statement("1", StatementKind.DEALLOCATE, "", "s"))


def row(key, version, value=b"{}"):
    return StoredRow("t", "", key, value, version)


def test_one_instance_that_is_cut_off_deposes_nobody():
    for members in range(3, 100):
        assert_that(quorum(members) > 1, Is(True))
    assert_that(quorum(1), Equals(1))
    assert_that(quorum(6), Equals(3))
    assert_that(quorum(8), Equals(3))


def test_suspicions_lapse_and_are_withdrawn():
    suspicions = Suspicions()
    suspicions.replace([row("s/a", 1), row("s/b", 2), row("other/a", 3)], ms(0))
    assert_that(suspicions.by("s", ms(1)), Equals({"a", "b"}))
    suspicions.update([row("s/b", 4, None)], ms(2))
    suspicions.replace([row("s/a", 1)], LIFETIME)
    assert_that(suspicions.by("s", LIFETIME), Equals(set()))


def test_member_is_live_until_its_heartbeats_stay_away():
    members = Members()
    members.replace([row("a", 1), row("b", 2)], ms(0))
    members.replace([row("a", 1), row("b", 5)], HEARTBEAT)
    limit = HEARTBEAT * MISSED_HEARTBEATS

    def live(now):
        return [member.name for member in members.live(now)]

    assert_that(live(limit - ms(1)), Equals(["a", "b"]))
    assert_that(live(limit), Equals(["b"]))
    assert_that(live(limit + HEARTBEAT + timedelta(1)), Equals([]))


def test_row_of_a_member_says_where_it_is_reached():
    address = Address("127.0.0.1", 7440)
    member = Member("a", "z", address)
    members = Members()
    members.replace([row("a", 1, encode_member(member)), row("b", 2, b"?")], ms(0))
    assert_that(members.live(ms(1)), Equals([member, Member("b", "", None)]))
