"""Who opens connections, and how many."""

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
def test_shares_and_proofs_of_all_holders_stay_below_the_limit(limit, members):
    holders = holder_count(limit, members)
    share = connection_share(limit, holders)
    assert_that(1 <= holders <= members, Is(True))
    assert_that(share >= 1, Is(True))
    used = (share + LEADER_CHECK_CONNECTIONS) * holders
    assert_that(used <= limit - FAILOVER_RESERVE_CONNECTIONS, Is(True))


def test_small_site_holds_everywhere_and_a_large_one_in_a_few_places():
    assert_that(holder_count(34, 8), Equals(8))
    assert_that(holder_count(38, 6), Equals(6))
    assert_that(holder_count(48, 61), Equals(6))
    assert_that(holder_count(156, 71), Equals(6))


@given(st.integers(1, 40), st.integers(1, 30), st.integers(1, 300))
def test_statements_in_flight_are_few_times_what_a_database_runs(share, slots, holders):
    """Burst at all holders: a database that is asked for more refuses most of it."""
    each = statement_share(share, slots, holders)
    assert_that(2 <= each <= max(2, share), Is(True))
    together = each * holders
    assert_that(
        together <= max(2 * holders, OVERBOOKING_FACTOR * slots + holders), Is(True)
    )
