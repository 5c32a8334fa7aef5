"""Choice of the holders of a group, and policies for opening connections."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, LessThan

from goldcrestpond.placement.access import Access
from goldcrestpond.placement.access_policies import open_after, retrospective
from goldcrestpond.placement.candidate import Candidate
from goldcrestpond.placement.holder_table import HolderTable
from goldcrestpond.placement.rendezvous import choose_holders

_ZONES = ("a", "b", "c")
_GROUPS = [f"group-{number}" for number in range(300)]


def _instances(count):
    return [Candidate(f"proxy-{n}", _ZONES[n % 3]) for n in range(count)]


def _names(holders):
    return {holder.name for holder in holders}


@given(st.integers(1, 30), st.integers(1, 9), st.data())
def test_instance_that_leaves_moves_only_the_groups_that_it_held(size, count, data):
    instances = _instances(size)
    removed = data.draw(st.sampled_from(instances))
    remaining = [instance for instance in instances if instance != removed]
    for group in _GROUPS[:20]:
        before = _names(choose_holders(group, instances, count, _ZONES))
        after = _names(choose_holders(group, remaining, count, _ZONES))
        assert_that(before, HasLength(min(count, size)))
        assert_that(before - after - {removed.name}, HasLength(0))
        expected_count = LessThan(2) if removed.name in before else Equals(0)
        assert_that(len(after - before), expected_count)


def test_every_group_is_held_by_all_of_few_instances():
    for group in _GROUPS:
        holders = choose_holders(group, _instances(6), 6, _ZONES)
        assert_that(_names(holders), HasLength(6))


def test_holders_spread_over_the_zones_of_the_databases_and_over_instances():
    group_counts = Counter()
    for group in _GROUPS:
        holders = choose_holders(group, _instances(60), 6, ("a", "c"))
        availability_zones = Counter(holder.availability_zone for holder in holders)
        assert_that(availability_zones, Equals({"a": 3, "c": 3}))
        group_counts.update(_names(holders))
    assert_that(
        max(group_counts.values()), LessThan(3 * sum(group_counts.values()) / 40)
    )


_STEPS = st.lists(st.tuples(st.booleans(), st.integers(0, 15)), max_size=30)


@given(_STEPS)
def test_cached_holders_equal_newly_computed_ones(steps):
    table = HolderTable(3)
    live = {}
    for is_joining, number in steps:
        instance = Candidate(f"proxy-{number}", _ZONES[number % 3])
        if is_joining:
            live[instance.name] = instance
            table.add(instance)
        else:
            live.pop(instance.name, None)
            table.remove(instance.name)
        for group in _GROUPS[:5]:
            expected = choose_holders(group, live.values(), 3, ("a", "b"))
            cached = table.holders(group, ("a", "b"))
            assert_that(_names(cached), Equals(_names(expected)))


_REQUESTS = st.lists(st.integers(0, 6).map(str), max_size=200)
_POLICIES = st.sampled_from([lambda: open_after(3, 2), lambda: retrospective(2, 2)])


@given(_REQUESTS, _POLICIES)
def test_policy_keeps_no_more_connections_than_its_capacity(requests, make_policy):
    choose = make_policy()
    opened = set()
    for group in requests:
        access = choose(group)
        if access is Access.OWN:
            assert_that(opened, Contains(group))
        if access is Access.OPEN:
            opened.add(group)
    connected = [group for group in sorted(opened) if choose(group) is Access.OWN]
    assert_that(len(connected), LessThan(3))


def test_retrospective_opens_once_past_requests_would_have_paid_for_it():
    choose = retrospective(cost_ratio=3, capacity=2)
    for group in ("1", "2") * 6:
        choose(group)
    accesses = [choose(group) for group in ("2", "3") * 6]
    assert_that(accesses[1::2], Equals([Access.RELAY] * 5 + [Access.OPEN]))
    assert_that(choose("2"), Equals(Access.OWN))
    assert_that(choose("1"), Equals(Access.RELAY))
