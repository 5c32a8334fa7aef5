"""Distribution of the configuration, and the count of what is in force."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from bench.fleet_loop import FleetLoop
from goldcrestpond.configuration.revision_count import count_in_force
from goldcrestpond.distribution.distribution import Distribution
from goldcrestpond.distribution.force_claim import ForceClaim
from goldcrestpond.distribution.in_force_tree import InForceTree
from goldcrestpond.distribution.update_exchange import UpdateExchange

SPREAD_TIMEOUT_S = 9.0
HEALING_TIMEOUT_S = 30.0
_VALUE = b"x" * 200


def _fleet(size, seed=1, **options):
    fleet = FleetLoop(seed, **options)
    fleet.on_claim = lambda address, claim: _assert_claim_is_true(fleet, address, claim)
    fleet.write("first", _VALUE)
    for _ in range(size):
        fleet.start()
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)
    return fleet


def _assert_claim_is_true(fleet, address, claim):
    """Check that no process that is live in the root's view is behind the claim."""
    ring = {update.instance_id for update in fleet.members[address].live()}
    covered = [
        fleet.holders[other].state.revision
        for other, member in fleet.members.items()
        if member.identity.instance_id in ring
    ]
    claimed = min(entry.revision for entry in claim.counts)
    assert_that(min(covered), Equals(max(claimed, min(covered))))
    total = sum(entry.instance_count for entry in claim.counts)
    assert_that(total, Equals(len(ring)))


def _in_force_everywhere(fleet, revision):
    size = len(fleet.members)
    return all(
        count_in_force(part.in_force(fleet.now), revision) == (size, size)
        for address, part in fleet.distributions.items()
        if address not in fleet.clock_offset
    )


def _each_change_is_reported_in_force(distribution_class=Distribution):
    fleet = _fleet(20, loss=0.05, distribution_class=distribution_class)
    for number in range(4):
        fleet.start()
        fleet.kill(list(fleet.members)[5])
        revision = fleet.write(f"row-{number}", _VALUE)
        fleet.run_until(lambda: _in_force_everywhere(fleet, revision), SPREAD_TIMEOUT_S)  # noqa: B023


def _lost_notices_are_recovered(distribution_class=Distribution):
    fleet = _fleet(20, distribution_class=distribution_class)
    fleet.loss = 0.3
    for number in range(6):
        revision = fleet.write(f"row-{number}", _VALUE)
        fleet.run_until(lambda: fleet.lowest_revision() >= revision, SPREAD_TIMEOUT_S)  # noqa: B023


def _new_member_gets_the_configuration_from_peers(distribution_class=Distribution):
    fleet = _fleet(8, distribution_class=distribution_class)
    fleet.run(1)
    fleet.table_answers = False
    new_member = fleet.start()
    holder = fleet.holders[new_member]
    fleet.run_until(lambda: holder.state.is_confirmed, 2.0)
    assert_that(holder.state.revision, Equals(fleet.revision))


def _large_update_is_fetched_over_a_stream(distribution_class=Distribution):
    fleet = _fleet(8, distribution_class=distribution_class)
    revision = fleet.write("large", b"x" * 50_000)
    fleet.run_until(lambda: fleet.lowest_revision() >= revision, SPREAD_TIMEOUT_S)


def _new_members_are_counted(distribution_class=Distribution):
    fleet = _fleet(20, distribution_class=distribution_class)
    fleet.run(5)
    for number in range(20):
        fleet.start()
        fleet.write(f"row-{number}", _VALUE)
        fleet.run(0.2 + fleet.rng.random() / 2)


_SCENARIOS = [
    _each_change_is_reported_in_force,
    _lost_notices_are_recovered,
    _new_member_gets_the_configuration_from_peers,
    _large_update_is_fetched_over_a_stream,
    _new_members_are_counted,
]


# Guards against false claims and against members that miss a revision.
@pytest.mark.parametrize("scenario", _SCENARIOS)
def test_scenario(scenario):
    scenario()


# Broken variants of the distribution; for each, one scenario must fail.


class _ClaimsWithoutComparison(InForceTree):
    def _publish_claim(self, report, now):
        self._claim_number += 1
        own_id = self._own_id()
        claim = ForceClaim(own_id, own_id, self._claim_number, 0, report.counts)
        return self._store_and_forward(claim, now)


class _CountsPreviousChildren(InForceTree):
    def _child_reports(self):
        return list(self._reports.values())


class _NoPeriodicNotice(UpdateExchange):
    def _send_notices(self, count):
        return super()._send_notices(count) if count > 1 else []


class _IgnoresAnswers(UpdateExchange):
    def on_answer(self, answer, source):
        return []


class _NoStreamFetch(UpdateExchange):
    def on_answer(self, answer, source):
        actions = super().on_answer(answer, source)
        return [] if actions else actions


def _distribution_with(part, variant):
    class Variant(Distribution):
        def __init__(self, membership, holder, settings, rng, now):
            super().__init__(membership, holder, settings, rng, now)
            if part == "tree":
                self._tree = variant(membership, holder, settings, now)
            else:
                self._exchange = variant(membership, holder, settings, rng, now)

    return Variant


# Guards against scenarios that pass even if the distribution is broken.
@pytest.mark.parametrize(
    ("part", "variant", "scenario"),
    [
        ("tree", _ClaimsWithoutComparison, _new_members_are_counted),
        ("tree", _CountsPreviousChildren, _each_change_is_reported_in_force),
        ("exchange", _NoPeriodicNotice, _lost_notices_are_recovered),
        ("exchange", _IgnoresAnswers, _new_member_gets_the_configuration_from_peers),
        ("exchange", _NoStreamFetch, _large_update_is_fetched_over_a_stream),
    ],
)
def test_broken_variant_is_caught(part, variant, scenario):
    with pytest.raises((TimeoutError, AssertionError)):
        scenario(_distribution_with(part, variant))


# Guards against claims by several members, whose number would grow with the fleet.
def test_only_one_member_makes_claims_at_any_fleet_size():
    claims = []
    for size in (10, 40):
        fleet = _fleet(size)
        fleet.run(10)
        sources = []
        fleet.on_claim = lambda address, claim, sources=sources: sources.append(address)
        for number in range(5):
            fleet.write(f"row-{number}", _VALUE)
            fleet.run(2)
        assert_that(set(sources), HasLength(1))
        claims.append(len(set(sources)))
    assert_that(claims, Equals([1, 1]))


# Guards against work per member that grows with the number of members.
def test_message_rate_per_member_does_not_grow_with_the_fleet():
    rates = []
    for size in (20, 80):
        fleet = _fleet(size)
        fleet.run(5)
        fleet.messages.clear()
        for number in range(5):
            fleet.write(f"row-{number}", _VALUE)
            fleet.run(2)
        rates.append(sum(fleet.messages.values()) / size)
    assert_that(rates[1], LessThan(rates[0] * 1.3))


class DistributionMachine(RuleBasedStateMachine):
    """Faults in any order: no revision reverts, no false claim, equal in the end."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.fleet = _fleet(5, seed, duplication=0.05, delay_ms=(0.2, 60.0))
        self.fleet.loss = 0.05

    def _pick(self, number):
        addresses = list(self.fleet.members)
        return addresses[number % len(addresses)]

    @rule(row=st.integers(0, 3))
    def write(self, row):
        self.fleet.write(f"row-{row}", _VALUE)

    @rule(duration_s=st.floats(0.05, 4))
    def let_time_pass(self, duration_s):
        self.fleet.run(duration_s)
        reverts = sum(holder.reverts for holder in self.fleet.holders.values())
        assert_that(reverts, Equals(0))

    @rule(answers=st.booleans())
    def change_table(self, answers):
        self.fleet.table_answers = answers

    @precondition(lambda self: len(self.fleet.members) < 9)
    @rule()
    def start(self):
        self.fleet.start()

    @precondition(lambda self: len(self.fleet.members) > 3)
    @rule(number=st.integers(0, 8), says=st.booleans())
    def stop(self, number, says):
        stop = self.fleet.leave if says else self.fleet.kill
        stop(self._pick(number))

    @rule(number=st.integers(0, 8))
    def replace(self, number):
        address = self._pick(number)
        self.fleet.kill(address)
        self.fleet.start(address)

    @rule(number=st.integers(0, 8), duration_s=st.floats(0.1, 10))
    def pause(self, number, duration_s):
        self.fleet.pause(self._pick(number), duration_s)

    @rule(salt=st.integers(0, 1000), duration_s=st.floats(0.1, 5))
    def partition(self, salt, duration_s):
        side = {
            address
            for address in self.fleet.members
            if random.Random(f"{salt}{address}").random() < 0.5
        }
        self.fleet.cut = lambda source, target: (source in side) != (target in side)
        self.fleet.run(duration_s)
        self.fleet.cut = lambda source, target: False

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.table_answers = True
        fleet.run(10)  # the longest pause
        fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)
        revision = fleet.write("last", _VALUE)
        fleet.run_until(
            lambda: _in_force_everywhere(fleet, revision), HEALING_TIMEOUT_S
        )


# Guards against members that keep an old revision after faults have ended.
DistributionMachine.TestCase.settings = settings(
    max_examples=12, stateful_step_count=12
)
test_members_have_the_same_revision_after_faults = DistributionMachine.TestCase


# Guards against a new member that, alone in its own view, is root and claims that
# all instances have its revision.
def test_new_member_claims_nothing_before_it_joined():
    fleet = _fleet(4)
    fleet.run(1)
    fleet.loss = 1.0
    new_member = fleet.distributions[fleet.start()]
    fleet.run(2)
    assert_that(new_member.in_force(fleet.now), Equals([]))
    fleet.loss = 0.0
    fleet.run_until(
        lambda: count_in_force(new_member.in_force(fleet.now), 0) == (5, 5),
        HEALING_TIMEOUT_S,
    )
