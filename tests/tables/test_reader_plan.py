"""Tests of who reads the store, and of whom each other instance follows."""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.members import Member
from goldcrestpond.settings.address import Address
from goldcrestpond.tables.reader_plan import (
    DIRECT_FOLLOWER_LIMIT,
    READER_COUNT,
    ZONE_RELAY_COUNT,
    make_reader_plan,
)

_ADDRESS = Address("127.0.0.1", 1)


def _fleet(count, zones=5, link_mbps=20):
    return [
        Member(f"i{number}", f"z{number % zones}", _ADDRESS, link_mbps)
        for number in range(count)
    ]


def _plans(members):
    return {member.name: make_reader_plan(member.name, members) for member in members}


@pytest.mark.parametrize("count", [1, 2, 3, 6, 24, 61, 195, 1000])
def test_one_instance_reads_whatever_the_size_of_the_fleet(count):
    plans = _plans(_fleet(count))
    ranks = sorted(plan.rank for plan in plans.values() if plan.rank is not None)
    assert_that(ranks, Equals(list(range(min(count, READER_COUNT)))))


@given(st.integers(1, 120), st.integers(1, 6))
def test_following_the_sources_ends_at_the_first_reader(count, zones):
    """No two instances follow each other, whichever of its sources each one chose."""
    plans = _plans(_fleet(count, zones))
    reached = {name for name, plan in plans.items() if plan.rank == 0}
    for _ in range(READER_COUNT + ZONE_RELAY_COUNT + 1):
        reached |= {
            name
            for name, plan in plans.items()
            if plan.sources and all(m.name in reached for m in plan.sources)
        }
    assert_that(reached, Equals(set(plans)))


def test_readers_have_fast_links_and_stand_in_different_zones():
    fast = [Member(f"f{n}", f"z{n % 5}", _ADDRESS, 200) for n in range(15)]
    plans = _plans(fast + _fleet(180))
    readers = [name for name, plan in plans.items() if plan.rank is not None]
    zones = {m.availability_zone for m in fast if m.name in readers}
    assert_that(all(name.startswith("f") for name in readers), Is(True))
    assert_that(len(zones), Equals(READER_COUNT))


# One instance that answered the whole fleet would send a large configuration hundreds
# of times over its link, most of them to other zones.
def test_few_instances_follow_a_reader_in_a_large_fleet():
    members = _fleet(195)
    plans = _plans(members)
    readers = {name for name, plan in plans.items() if plan.rank is not None}
    direct = [p for p in plans.values() if p.sources and p.sources[0].name in readers]
    assert_that(len(direct) <= READER_COUNT + 5 * ZONE_RELAY_COUNT, Is(True))
    zones = {m.name: m.availability_zone for m in members}
    for name, plan in plans.items():
        if plan.sources and plan.sources[0].name not in readers:
            assert_that(plan.sources[0].availability_zone, Equals(zones[name]))


def test_all_follow_the_readers_directly_in_a_small_fleet():
    plans = _plans(_fleet(DIRECT_FOLLOWER_LIMIT))
    readers = {name for name, plan in plans.items() if plan.rank is not None}
    sources = {m.name for plan in plans.values() for m in plan.sources}
    assert_that(sources, Equals(readers))


def test_member_without_an_address_is_not_followed():
    members = [*_fleet(3), Member("ghost", "z0", None, 1000)]
    plan = make_reader_plan("i1", members)
    names = {member.name for member in plan.sources + plan.others}
    assert_that("ghost" in names, Is(False))
