"""Tests of how many instances open connections to a database, and how many each."""

import hypothesis.strategies as st
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.connection_share import (
    FAILOVER_RESERVE_CONNECTIONS,
    LEADER_CHECK_CONNECTIONS,
    OVERBOOKING_FACTOR,
    connection_share,
    holder_count,
    statement_share,
)


@given(st.integers(5, 400), st.integers(1, 300))
def test_connections_of_all_holders_stay_below_the_limit(limit, members):
    holders = holder_count(limit, members)
    share = connection_share(limit, holders)
    assert_that(1 <= holders <= members, Is(True))
    assert_that(share >= 1, Is(True))
    used = (share + LEADER_CHECK_CONNECTIONS) * holders
    assert_that(used <= limit - FAILOVER_RESERVE_CONNECTIONS, Is(True))


def test_all_instances_of_a_small_fleet_are_holders_and_six_of_a_large_one():
    assert_that(holder_count(34, 8), Equals(8))
    assert_that(holder_count(38, 6), Equals(6))
    assert_that(holder_count(48, 61), Equals(6))
    assert_that(holder_count(156, 71), Equals(6))


@given(st.integers(1, 40), st.integers(1, 30), st.integers(1, 300))
def test_statements_of_all_holders_are_limited_by_the_slots_of_a_database(
    share, slots, holders
):
    """Burst at all holders: a database that gets more statements refuses most."""
    share_per_holder = statement_share(share, slots, holders)
    assert_that(2 <= share_per_holder <= max(2, share), Is(True))
    total = share_per_holder * holders
    assert_that(
        total <= max(2 * holders, OVERBOOKING_FACTOR * slots + holders), Is(True)
    )
