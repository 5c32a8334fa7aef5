"""Which holders serve an organisation."""

import math

import hypothesis.strategies as st
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, HasLength, Is, LessThan

from goldcrestpond.placement.organisation_homes import (
    HOME_LOAD_FRACTION,
    OrganisationHomes,
    choose_homes,
    compute_rate_parts,
    home_count,
    sum_home_parts,
)

_ORGANISATIONS = [f"organisation-{number}" for number in range(72)]
_EVEN = compute_rate_parts(dict.fromkeys(_ORGANISATIONS, 5.0))
_holder_sets = st.sets(
    st.integers(0, 60).map(lambda n: f"i{n}"), min_size=2, max_size=8
)
_rates = st.lists(
    st.one_of(st.just(math.inf), st.floats(0, 1000)), min_size=1, max_size=80
).map(lambda rates: {f"o{n}": rate for n, rate in enumerate(rates)})


# Failure: instances that list the holders in another order disagree about the homes.
@given(_rates, _holder_sets, st.randoms())
def test_homes_do_not_depend_on_the_order_of_holders(rates, holders, rng):
    parts = compute_rate_parts(rates)
    shuffled = sorted(holders)
    rng.shuffle(shuffled)
    assert_that(
        choose_homes(parts, shuffled), Equals(choose_homes(parts, sorted(holders)))
    )


# Failure: a holder is replaced, and organisations of other holders move too.
@given(_holder_sets, st.data())
def test_holder_that_is_replaced_moves_only_its_own_organisations(holders, data):
    gone = data.draw(st.sampled_from(sorted(holders)))
    before = choose_homes(_EVEN, sorted(holders))
    after = choose_homes(_EVEN, sorted(holders - {gone} | {"newcomer"}))
    for name in _ORGANISATIONS:
        old, new = set(before[name].homes), set(after[name].homes)
        is_own = gone in old or "newcomer" in new
        assert_that(old == new or is_own, Is(True))
        assert_that(len(new - old - {"newcomer"}) <= len(old & {gone}), Is(True))


# Failure: a home is lost, and another holder than its standby, which has no connections
# for the organisation, becomes its home.
@given(_holder_sets, st.data())
def test_standby_becomes_the_home_of_an_organisation_whose_home_left(holders, data):
    gone = data.draw(st.sampled_from(sorted(holders)))
    before = choose_homes(_EVEN, sorted(holders))
    after = choose_homes(_EVEN, sorted(holders - {gone}))
    for name in _ORGANISATIONS:
        former = before[name]
        if gone in former.homes and len(after[name].homes) == len(former.homes):
            assert_that(former.standby in after[name].homes, Is(True))
        elif gone not in former.homes:
            assert_that(set(after[name].homes) <= set(former.homes), Is(True))


# Failure: one large organisation overloads the only holder that serves it.
@given(_rates, _holder_sets)
def test_one_organisation_loads_a_home_with_a_bounded_part(rates, holders):
    parts = compute_rate_parts(rates)
    assert_that(math.isclose(sum(parts.values()), 1), Is(True))
    homes = choose_homes(parts, sorted(holders))
    bound = HOME_LOAD_FRACTION / len(holders)
    for name, part in parts.items():
        count = len(homes[name].homes)
        is_bounded = part / count <= bound * (1 + 1e-6)
        assert_that(is_bounded or count == len(holders), Is(True))
        assert_that(homes[name].standby in homes[name].homes, Is(False))
    assert_that(math.isclose(sum(sum_home_parts(parts, homes).values()), 1), Is(True))


def test_small_organisations_of_a_fleet_load_no_holder_with_twice_the_even_part():
    holders = [f"i{n}" for n in range(6)]
    sums = sum_home_parts(_EVEN, choose_homes(_EVEN, holders))
    assert_that(sums, HasLength(6))
    assert_that(list(sums.values()), AllMatch(LessThan(2 / 6)))


def test_large_organisation_has_several_homes_and_a_small_one_has_one():
    assert_that(home_count(0.01, 6), Equals(1))
    assert_that(home_count(0.2, 6), Equals(3))
    assert_that(home_count(1.0, 6), Equals(6))


def test_organisations_without_a_rate_have_equal_parts():
    parts = compute_rate_parts({"a": math.inf, "b": math.inf, "c": 0.0})
    assert_that(parts["a"], Equals(parts["b"]))
    assert_that(compute_rate_parts({"a": 0.0, "b": 0.0})["a"], Equals(0.5))


def test_only_holder_is_home_without_a_standby():
    homes = choose_homes({"a": 0.5, "b": 0.5}, ["i1"])
    assert_that(homes["a"], Equals(OrganisationHomes(("i1",), "")))
    assert_that(choose_homes({"a": 1.0}, [])["a"], Equals(OrganisationHomes()))
