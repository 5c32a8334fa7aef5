"""Membership under packet loss, partitions, pauses, clock jumps and restarts."""

import random
from datetime import timedelta

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan, MatchesAny

from bench.fleet_loop import FleetLoop
from goldcrestpond.membership import member_table
from goldcrestpond.membership.member_state import MemberState
from goldcrestpond.membership.member_table import MemberTable
from goldcrestpond.membership.member_update import MemberUpdate, supersedes
from goldcrestpond.membership.membership import Membership
from goldcrestpond.membership.ring import Ring

DETECTION_TIMEOUT_S = 2.0
HEALING_TIMEOUT_S = 30.0

_UPDATES = st.builds(
    MemberUpdate,
    instance_id=st.integers(1, 4),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    name=st.just("instance"),
    address=st.integers(1, 2).map(lambda n: f"10.0.0.{n}:7000"),
    availability_zone=st.just("west"),
)


def _fleet(size, seed=1, **options):
    fleet = FleetLoop(seed, **options)
    for _ in range(size):
        fleet.start()
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)
    return fleet


# Scenarios: each raises TimeoutError or AssertionError if the members fail.


def _members_learn_of_a_death(member_class=Membership, loss=0.0, size=24):
    fleet = _fleet(size, member_class=member_class)
    fleet.loss = loss
    for _ in range(4):
        dead = fleet.kill(fleet.rng.choice(list(fleet.members)))
        fleet.run_until(lambda dead=dead: fleet.known_dead(dead), DETECTION_TIMEOUT_S)
        fleet.run(fleet.rng.random())


def _packet_loss_causes_no_death(member_class=Membership):
    fleet = _fleet(24, member_class=member_class, loss=0.05)
    fleet.run(60)
    assert_that(fleet.deaths, HasLength(0))


def _paused_member_refutes_suspicion(member_class=Membership):
    fleet = _fleet(8, member_class=member_class)
    # Longer than the probe deadline, shorter than that plus the suspicion timeout.
    for address in fleet.members:
        fleet.pause(address, 0.95)
        fleet.run(4)
    assert_that(fleet.false_deaths(), Equals(0))
    assert_that(fleet.agreed(), Is(True))
    states = {u.state for m in fleet.members.values() for u in m.live()}
    assert_that(states, Equals({MemberState.ALIVE}))


def _partition_heals(member_class=Membership):
    fleet = _fleet(12, member_class=member_class)
    left = set(list(fleet.members)[:5])
    fleet.cut = lambda source, target: (source in left) != (target in left)
    fleet.run(20)
    for address, member in fleet.members.items():
        side = {a for a in fleet.members if (a in left) == (address in left)}
        assert_that({update.address for update in member.live()}, Equals(side))
    fleet.cut = lambda source, target: False
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)


def _paused_member_declares_no_death(member_class=Membership):
    fleet = _fleet(8, member_class=member_class)
    for suspect in list(fleet.members):
        fleet.deaths.clear()
        fleet.pause(suspect, 0.95)
        fleet.run(0.9)
        # The members that suspect it are paused and miss its refutation.
        for address, member in fleet.members.items():
            if member._suspicions:
                fleet.pause(address, 10)
        fleet.run(9.5)
        fleet.run(3)
        awake = fleet.members[suspect].identity.instance_id
        assert_that([i for _, _, i in fleet.deaths if i == awake], HasLength(0))
        fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)


def _replaced_process_is_detected(member_class=Membership):
    fleet = _fleet(8, member_class=member_class)
    address = list(fleet.members)[4]
    replaced_id = fleet.kill(address)
    fleet.start(address)
    fleet.run_until(lambda: fleet.known_dead(replaced_id), DETECTION_TIMEOUT_S)
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)


def _leave_is_announced(member_class=Membership):
    fleet = _fleet(24, member_class=member_class)
    left_id = fleet.leave(list(fleet.members)[3])
    fleet.run_until(lambda: fleet.known_dead(left_id), 0.5)


def _missed_update_is_recovered(member_class=Membership):
    fleet = _fleet(12, member_class=member_class)
    fleet.lists_instances = False
    fleet.run(20)
    member, *_, missed = fleet.members.values()
    forgotten = msgspec.structs.replace(missed.identity, state=MemberState.LEFT)
    member.table.merge(forgotten, fleet.now)
    member.table.drop_tombstones_before(fleet.now + timedelta(seconds=1))
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)


_SCENARIOS = [
    _members_learn_of_a_death,
    _packet_loss_causes_no_death,
    _paused_member_refutes_suspicion,
    _partition_heals,
    _paused_member_declares_no_death,
    _replaced_process_is_detected,
    _leave_is_announced,
    _missed_update_is_recovered,
]


# Guards against false deaths, deaths that stay unknown and lasting disagreement.
@pytest.mark.parametrize("scenario", _SCENARIOS)
def test_scenario(scenario):
    scenario()


# Guards against a death that members miss because datagrams are lost.
def test_members_learn_of_deaths_despite_packet_loss():
    _members_learn_of_a_death(loss=0.05, size=50)


# Broken variants of the protocol; for each, one scenario must fail.


class _NoRefutation(Membership):
    def _refute(self, state, incarnation):
        return


class _NoRetry(Membership):
    def _escalate_probe(self, number, probe, age):
        return

    def _advance_suspicions(self):
        for suspicion in self._suspicions.values():
            suspicion.deadline = self._now
        super()._advance_suspicions()


class _NoDeathDeclaration(Membership):
    def _advance_suspicions(self):
        return


class _NoContactWithDead(Membership):
    def _contact_others(self):
        if len(self.table.ring) <= 1:
            super()._contact_others()

    def _notify_presumed_dead(self, sender, source):
        return


class _NoTimeoutReset(Membership):
    def _reset_timeouts(self):
        return


class _NoReplacementDetection(Membership):
    def _apply_probe_answer(self, probe, responder):
        return

    def _on_probe_timeout(self, probe):
        if not self.table.live_at_address(probe.address):
            super()._on_probe_timeout(probe)


class _SilentLeave(Membership):
    def _on_leave(self):
        self._has_left = True


class _NoDigestComparison(Membership):
    def _compare_digest(self, digest, source):
        if self._joining:
            super()._compare_digest(digest, source)


# Guards against scenarios that pass even if the protocol is broken.
@pytest.mark.parametrize(
    ("variant", "scenario"),
    [
        (_NoRefutation, _paused_member_refutes_suspicion),
        (_NoRetry, _packet_loss_causes_no_death),
        (_NoDeathDeclaration, _members_learn_of_a_death),
        (_NoContactWithDead, _partition_heals),
        (_NoTimeoutReset, _paused_member_declares_no_death),
        (_NoReplacementDetection, _replaced_process_is_detected),
        (_SilentLeave, _leave_is_announced),
        (_NoDigestComparison, _missed_update_is_recovered),
    ],
)
def test_broken_variant_is_caught(variant, scenario):
    with pytest.raises((TimeoutError, AssertionError)):
        scenario(variant)


def _last_update_wins(update, known):
    return update != known


def _table_of(updates):
    table = MemberTable()
    for update in updates:
        table.merge(update, timedelta(0))
    known = [table.get(number) for number in range(1, 5)]
    return known, table.digest, table.bucket_digests


def _assert_order_does_not_matter(updates, shuffled):
    assert_that(_table_of(shuffled)[0], Equals(_table_of(updates)[0]))
    assert_that(_table_of(shuffled)[1:], Equals(_table_of(updates)[1:]))


# Guards against tables that differ because updates arrived in another order.
@settings(max_examples=60)
@given(st.lists(_UPDATES, max_size=10), st.randoms(use_true_random=False))
def test_tables_agree_for_any_order_of_updates(updates, rng):
    # A process keeps its address, so updates with equal order keys are equal.
    updates = [
        msgspec.structs.replace(u, address=f"10.0.0.{u.instance_id % 2}:7000")
        for u in updates
    ]
    shuffled = updates + rng.sample(updates, len(updates) // 2)
    rng.shuffle(shuffled)
    _assert_order_does_not_matter(updates, shuffled)


# Guards against an order test that passes even if the last update wins.
def test_variant_without_incarnation_order_is_caught(monkeypatch):
    monkeypatch.setattr(member_table, "supersedes", _last_update_wins)
    alive = MemberUpdate(1, 1, MemberState.ALIVE, "a", "10.0.0.1:7000", "z")
    stale = msgspec.structs.replace(alive, incarnation=0, state=MemberState.DEAD)
    with pytest.raises(AssertionError):
        _assert_order_does_not_matter([alive, stale], [stale, alive])


# Guards against two different updates of which each supersedes the other.
@given(_UPDATES, _UPDATES)
def test_order_of_updates_is_total(first, second):
    second = msgspec.structs.replace(second, instance_id=first.instance_id)
    both = [supersedes(first, second), supersedes(second, first)]
    assert_that(
        both, MatchesAny(*map(Equals, ([True, False], [False, True], [False] * 2)))
    )


# Guards against cycles in the tree and against a removal that reorders it widely.
@given(st.sets(st.integers(1, 2**64 - 1), min_size=2, max_size=60), st.data())
def test_tree_spans_the_ring_and_changes_only_near_a_removal(ids, data):
    ring = Ring()
    for instance_id in ids:
        ring.add(instance_id)
    for instance_id in ids:
        seen = set()
        while (parent := ring.parent(instance_id)) is not None:
            assert_that(instance_id in seen, Is(False))
            seen.add(instance_id)
            instance_id = parent
        assert_that(instance_id, Equals(ring.root()))
    before = {instance_id: ring.parent(instance_id) for instance_id in ids}
    removed = data.draw(st.sampled_from(sorted(ids)))
    ring.discard(removed)
    for instance_id in ids - {removed}:
        if ring.parent(instance_id) != before[instance_id] and before[instance_id]:
            assert_that(
                before[instance_id],
                MatchesAny(Equals(removed), Equals(before[removed])),
            )


class MembershipMachine(RuleBasedStateMachine):
    """Faults in any order; once they end, the members agree within a time limit."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed):
        self.fleet = FleetLoop(seed, loss=0.05, duplication=0.05, delay_ms=(0.2, 60.0))
        for _ in range(5):
            self.fleet.start()
        self.fleet.run(2)

    def _pick(self, number):
        addresses = list(self.fleet.members)
        return addresses[number % len(addresses)]

    @rule(duration_s=st.floats(0.05, 4))
    def let_time_pass(self, duration_s):
        self.fleet.run(duration_s)

    @precondition(lambda self: len(self.fleet.members) < 9)
    @rule()
    def start(self):
        self.fleet.start()

    @precondition(lambda self: len(self.fleet.members) > 3)
    @rule(number=st.integers(0, 8))
    def kill(self, number):
        self.fleet.kill(self._pick(number))

    @precondition(lambda self: len(self.fleet.members) > 3)
    @rule(number=st.integers(0, 8))
    def leave(self, number):
        self.fleet.leave(self._pick(number))

    @rule(number=st.integers(0, 8))
    def replace(self, number):
        address = self._pick(number)
        self.fleet.kill(address)
        self.fleet.start(address)

    @rule(number=st.integers(0, 8), duration_s=st.floats(0.1, 10))
    def pause(self, number, duration_s):
        self.fleet.pause(self._pick(number), duration_s)

    @rule(number=st.integers(0, 8), jump_s=st.floats(-3600, 3600))
    def jump_clock(self, number, jump_s):
        address = self._pick(number)
        offset = self.fleet.clock_offset.get(address, timedelta(0))
        self.fleet.clock_offset[address] = offset + timedelta(seconds=jump_s)

    @rule(salt=st.integers(0, 1000), duration_s=st.floats(0.1, 5))
    def partition(self, salt, duration_s):
        side = {
            a for a in self.fleet.members if random.Random(f"{salt}{a}").random() < 0.5
        }
        self.fleet.cut = lambda source, target: (source in side) != (target in side)
        self.fleet.run(duration_s)
        self.fleet.cut = lambda source, target: False

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.run(10)  # the longest pause
        self.fleet.run_until(self.fleet.agreed, HEALING_TIMEOUT_S)


# Guards against members that still disagree after faults have ended.
MembershipMachine.TestCase.settings = settings(max_examples=12, stateful_step_count=12)
test_members_agree_after_faults = MembershipMachine.TestCase


# Guards against work per member that grows with the number of members.
def test_message_rate_per_member_does_not_grow_with_the_fleet():
    rates = []
    for size in (20, 80):
        fleet = _fleet(size)
        fleet.messages.clear()
        fleet.run(5)
        rates.append(sum(fleet.messages.values()) / size)
    assert_that(rates[1], LessThan(rates[0] * 1.2))


# Guards against a new member that gossips the table that it just received.
def test_new_member_does_not_gossip_the_whole_table():
    fleet = _fleet(60)
    fleet.run(60)
    new_member = fleet.members[fleet.start()]
    fleet.run_until(fleet.agreed, HEALING_TIMEOUT_S)
    assert_that(new_member.pending_update_count, LessThan(10))
