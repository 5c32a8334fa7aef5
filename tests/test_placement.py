"""Placement: holders that move little, and policies of access."""

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
def test_one_change_moves_only_the_changed_instance(size, count, data):
    instances = _instances(size)
    gone = data.draw(st.sampled_from(instances))
    rest = [instance for instance in instances if instance != gone]
    for group in _GROUPS[:20]:
        before = _names(choose_holders(group, instances, count, _ZONES))
        after = _names(choose_holders(group, rest, count, _ZONES))
        assert_that(before, HasLength(min(count, size)))
        assert_that(before - after - {gone.name}, HasLength(0))
        moved = LessThan(2) if gone.name in before else Equals(0)
        assert_that(len(after - before), moved)


def test_few_instances_all_hold_every_group():
    for group in _GROUPS:
        holders = choose_holders(group, _instances(6), 6, _ZONES)
        assert_that(_names(holders), HasLength(6))


def test_places_spread_over_the_zones_of_the_databases_and_over_instances():
    load = Counter()
    for group in _GROUPS:
        holders = choose_holders(group, _instances(60), 6, ("a", "c"))
        availability_zones = Counter(holder.availability_zone for holder in holders)
        assert_that(availability_zones, Equals({"a": 3, "c": 3}))
        load.update(_names(holders))
    assert_that(max(load.values()), LessThan(3 * sum(load.values()) / 40))


_STEPS = st.lists(st.tuples(st.booleans(), st.integers(0, 15)), max_size=30)


@given(_STEPS)
def test_remembered_holders_are_those_worked_out_anew(steps):
    table = HolderTable(3)
    live = {}
    for joins, number in steps:
        instance = Candidate(f"proxy-{number}", _ZONES[number % 3])
        if joins:
            live[instance.name] = instance
            table.add(instance)
        else:
            live.pop(instance.name, None)
            table.remove(instance.name)
        for group in _GROUPS[:5]:
            expected = choose_holders(group, live.values(), 3, ("a", "b"))
            found = table.holders(group, ("a", "b"))
            assert_that(_names(found), Equals(_names(expected)))


_REQUESTS = st.lists(st.integers(0, 6).map(str), max_size=200)
_POLICIES = st.sampled_from([lambda: open_after(3, 2), lambda: retrospective(2, 2)])


@given(_REQUESTS, _POLICIES)
def test_no_more_connections_than_the_capacity(requests, make):
    choose = make()
    opened = set()
    for group in requests:
        access = choose(group)
        if access is Access.OWN:
            assert_that(opened, Contains(group))
        if access is Access.OPEN:
            opened.add(group)
    held = [group for group in sorted(opened) if choose(group) is Access.OWN]
    assert_that(len(held), LessThan(3))


def test_retrospective_opens_when_the_past_would_have_paid_for_it():
    choose = retrospective(cost_ratio=3, capacity=2)
    for group in ("1", "2") * 6:
        choose(group)
    answers = [choose(group) for group in ("2", "3") * 6]
    assert_that(answers[1::2], Equals([Access.RELAY] * 5 + [Access.OPEN]))
    assert_that(choose("2"), Equals(Access.OWN))
    assert_that(choose("1"), Equals(Access.RELAY))
