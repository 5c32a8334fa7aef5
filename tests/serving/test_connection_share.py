"""Tests of how many instances open connections to a database, and how many each."""

import itertools

import hypothesis.strategies as st
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.connection_share import (
    FAILOVER_RESERVE_CONNECTIONS,
    LEADER_CHECK_CONNECTIONS,
    OVERBOOKING_FACTOR,
    RESTART_RESERVE_FRACTION,
    connection_share,
    divide_connections,
    holder_count,
    statement_share,
    weigh_holders,
    weighted_statement_share,
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


_home_parts = st.lists(st.floats(0, 1), min_size=1, max_size=6).map(
    lambda parts: {f"i{n}": part for n, part in enumerate(parts)}
)


# Failure: holders with large parts open more connections than the database accepts, or
# all of them, so that after a loss of power none is free while it counts the dead ones.
@given(st.integers(5, 400), _home_parts)
def test_connections_of_holders_with_homes_stay_below_the_limit(limit, home_parts):
    weights = weigh_holders(list(home_parts), home_parts)
    shares = divide_connections(limit, weights)
    assert_that(min(shares.values()) >= 1, Is(True))
    used = sum(shares.values()) + LEADER_CHECK_CONNECTIONS * len(shares)
    free = max(FAILOVER_RESERVE_CONNECTIONS, int(limit * RESTART_RESERVE_FRACTION))
    assert_that(used <= max(limit - free, 2 * len(shares)), Is(True))
    by_weight = sorted(weights, key=lambda name: weights[name])
    for less, more in itertools.pairwise(by_weight):
        assert_that(shares[less] <= shares[more] + 1, Is(True))


# Failure: the instances list the holders in another order and divide differently.
@given(_home_parts, st.randoms())
def test_division_does_not_depend_on_the_order_of_holders(home_parts, rng):
    shuffled = list(home_parts)
    rng.shuffle(shuffled)
    first = divide_connections(58, weigh_holders(sorted(home_parts), home_parts))
    second = divide_connections(58, weigh_holders(shuffled, home_parts))
    assert_that(second, Equals(first))


def test_share_follows_the_rates_and_standbys_keep_a_minimum():
    weights = weigh_holders(["i1", "i2", "i3"], {"i1": 0.75, "i2": 0.25})
    shares = divide_connections(58, weights)
    assert_that(shares, Equals({"i1": 26, "i2": 11, "i3": 4}))
    statements = [weighted_statement_share(30, 6, weights[n]) for n in sorted(weights)]
    assert_that(statements, Equals([8, 4, 2]))


@given(_home_parts, st.integers(1, 30))
def test_statements_of_holders_with_homes_are_limited_by_the_slots(home_parts, slots):
    weights = weigh_holders(list(home_parts), home_parts)
    total = sum(weighted_statement_share(99, slots, w) for w in weights.values())
    count = len(weights)
    assert_that(total <= OVERBOOKING_FACTOR * slots + 2 * count, Is(True))


def test_holders_without_homes_share_evenly():
    weights = weigh_holders(["i1", "i2"], {})
    assert_that(weights, Equals({"i1": 0.5, "i2": 0.5}))
