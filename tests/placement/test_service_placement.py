"""Who carries the work of all services, for fleets of several sizes."""

from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from goldcrestpond.placement.candidate import Candidate
from goldcrestpond.placement.service_placement import place_services


def _fleet(count, zones=3):
    return [Candidate(f"i{number}", f"z{number % zones}") for number in range(count)]


def _loads(placed):
    return Counter(name for names in placed.values() for name in names)


# Failure: a few instances do the work of all services, and their part grows with the
# fleet's work.
@pytest.mark.parametrize(
    ("instance_count", "service_count"), [(16, 4), (60, 4), (300, 10), (5764, 200)]
)
def test_no_instance_holds_two_services_while_another_holds_none(
    instance_count, service_count
):
    counts = {f"s{number}": 3 for number in range(service_count)}
    placed = place_services(counts, _fleet(instance_count))
    loads = _loads(placed)
    assert_that(max(loads.values()), Equals(1))
    zones = {c.name: c.availability_zone for c in _fleet(instance_count)}
    for names in placed.values():
        assert_that({zones[name] for name in names}, HasLength(3))


@pytest.mark.parametrize(("instance_count", "highest"), [(6, 2), (4, 4), (1, 4)])
def test_small_fleet_divides_the_services_evenly_within_each_zone(
    instance_count, highest
):
    counts = {f"s{number}": min(3, instance_count) for number in range(4)}
    placed = place_services(counts, _fleet(instance_count))
    assert_that(
        {len(set(n)) for n in placed.values()}, Equals({min(3, instance_count)})
    )
    assert_that(max(_loads(placed).values()), Equals(highest))


def test_order_of_the_candidates_does_not_matter():
    counts = {f"s{number}": 3 for number in range(4)}
    fleet = _fleet(60)
    assert_that(
        place_services(counts, fleet[::-1]), Equals(place_services(counts, fleet))
    )


# Failure: an instance that leaves or joins moves the services of many others, each with
# connections to open.
@pytest.mark.parametrize("instance_count", [16, 60, 300])
def test_change_of_one_instance_moves_few_services(instance_count):
    counts = {f"s{number}": 3 for number in range(4)}
    fleet = _fleet(instance_count)
    before = place_services(counts, fleet)
    moved = []
    for left in fleet:
        after = place_services(counts, [c for c in fleet if c is not left])
        moved.append(sum(len(set(after[s]) - set(before[s])) for s in counts))
    # On average a member holds at most one service, which moves to another one.
    assert_that(sum(moved) / len(moved), LessThan(2.0))
    assert_that(max(moved), LessThan(6))
