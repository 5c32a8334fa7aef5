"""Selection of the members that may hold connections, by link bandwidth."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.relay.eligible_members import eligible_members
from goldcrestpond.serving.members import Member


def _members(*links):
    return [Member(f"i{n}", "z", None, link) for n, link in enumerate(links)]


def _chosen(links, count):
    return [member.link_mbps for member in eligible_members(_members(*links), count)]


# Guards against: members with low bandwidth hold connections although enough others
# have more. With a large configuration, each change saturates their link for a while.
def test_low_bandwidth_members_are_not_eligible_if_enough_others_have_more():
    assert_that(_chosen([200] * 8 + [10] * 63, 6), Equals([200] * 8))


def test_all_members_are_eligible_if_too_few_have_high_bandwidth():
    assert_that(_chosen([200] * 2 + [10] * 5, 6), Equals([200] * 2 + [10] * 5))


def test_members_with_at_least_half_of_the_bandwidth_are_eligible():
    assert_that(_chosen([100, 90, 60], 1), Equals([100, 90, 60]))


@given(st.lists(st.floats(0, 1000), max_size=80), st.integers(1, 20))
def test_enough_members_are_eligible_unless_too_few_exist(links, count):
    chosen = _chosen(links, count)
    assert_that(len(chosen) >= min(count, len(links)), Equals(True))
