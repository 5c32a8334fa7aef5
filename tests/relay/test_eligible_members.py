"""Who may hold connections, by the width of the links."""

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


def test_narrow_links_hold_nothing_where_there_are_enough_wide_ones():
    """Grown configuration: each change fills a narrow link for a while."""
    assert_that(_chosen([200] * 8 + [10] * 63, 6), Equals([200] * 8))


def test_all_may_hold_where_wide_links_are_too_few():
    assert_that(_chosen([200] * 2 + [10] * 5, 6), Equals([200] * 2 + [10] * 5))


def test_links_that_differ_a_little_count_as_equal():
    assert_that(_chosen([100, 90, 60], 1), Equals([100, 90, 60]))


@given(st.lists(st.floats(0, 1000), max_size=80), st.integers(1, 20))
def test_there_are_always_enough(links, count):
    chosen = _chosen(links, count)
    assert_that(len(chosen) >= min(count, len(links)), Equals(True))
