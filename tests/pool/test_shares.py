"""Shares of a connection limit, and variants that must be caught."""

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.pool.instance_lease import LEASE_DURATION, InstanceLease
from goldcrestpond.pool.lease_observer import LeaseObserver
from goldcrestpond.pool.share_demand import ShareDemand
from goldcrestpond.pool.share_entry import ShareEntry
from goldcrestpond.pool.share_holder import ShareHolder
from goldcrestpond.pool.share_limits import ShareLimits
from goldcrestpond.pool.share_row import ShareRow
from goldcrestpond.pool.share_targets import compute_share_targets

from .share_machine import LIMITS, ShareMachine

_MACHINE_SETTINGS = settings(max_examples=200, stateful_step_count=40)


def test_shares_in_use_never_exceed_the_limit():
    run_state_machine_as_test(ShareMachine, settings=_MACHINE_SETTINGS)


def _lease_counts_from_its_answer(monkeypatch):
    monkeypatch.setattr(
        InstanceLease,
        "is_held",
        lambda lease, now: lease._usable_until is not None,
    )


def _others_are_reclaimed_early(monkeypatch):
    def has_lapsed(observer, name):
        return observer._unchanged_for(name) > LEASE_DURATION / 3

    monkeypatch.setattr(LeaseObserver, "has_lapsed", has_lapsed)


def _quiet_counts_from_the_answer(monkeypatch):
    def record_read(observer, sent_at):
        observer._read_sent_at = sent_at + timedelta(seconds=15)

    monkeypatch.setattr(LeaseObserver, "record_read", record_read)


def _share_is_lowered_after_its_write(monkeypatch):
    usable_connections = ShareHolder.usable_connections

    def usable_unlowered(holder, now):
        holder._lowered = None
        return usable_connections(holder, now)

    monkeypatch.setattr(ShareHolder, "usable_connections", usable_unlowered)


def _share_is_raised_before_its_write(monkeypatch):
    propose = ShareHolder.propose

    def propose_and_use(holder, demand, listed, now):
        proposal = propose(holder, demand, listed, now)
        if proposal is not None:
            holder._confirmed = proposal.row.entries[holder._instance]
        return proposal

    monkeypatch.setattr(ShareHolder, "propose", propose_and_use)


def _lapse_is_forgotten(monkeypatch):
    def usable_connections(holder, now):
        bounds = [b for b in (holder._lowered, holder._target) if b is not None]
        share = holder._confirmed.share
        if not holder._lease.is_held(now):
            share = min(share, holder._confirmed.floor)
        return min([share, *bounds])

    monkeypatch.setattr(ShareHolder, "usable_connections", usable_connections)


def _hold_all(machine):
    """Let ``a`` hold everything that ``b`` then asks for."""
    for name in "ab":
        machine.renew(name, 0)
        machine.read(name, 0)
        machine.write(name, 20, 0, "ok")


def _lapse_with_a_reclaim_on_its_way(machine):
    _hold_all(machine)
    machine.read("b", 0)
    machine.pass_time(33)
    machine.renew("b", 0)
    machine.read("b", 0)
    machine.write("b", 20, 0, "late")
    machine.renew("a", 0)
    machine.read("a", 0)
    machine.late_effect()
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _long_lapse(machine):
    _hold_all(machine)
    machine.read("b", 0)
    machine.pass_time(60)
    machine.renew("b", 0)
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _quiet_holder_with_a_lease(machine):
    _hold_all(machine)
    machine.read("b", 0)
    machine.pass_time(12)
    machine.pass_time(5)
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _lowering_that_takes_effect_late(machine):
    _hold_all(machine)
    machine.read("a", 0)
    machine.write("a", 0, 0, "late")
    machine.write("a", 20, 0, "late")
    machine.late_effect()
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _race_to_join(machine):
    for name in "ab":
        machine.renew(name, 0)
        machine.read(name, 0)
    machine.write("a", 20, 0, "late")
    machine.write("b", 20, 0, "ok")


_CASES = [
    (_lease_counts_from_its_answer, _long_lapse),
    (_others_are_reclaimed_early, _quiet_holder_with_a_lease),
    (_quiet_counts_from_the_answer, _quiet_holder_with_a_lease),
    (_share_is_lowered_after_its_write, _lowering_that_takes_effect_late),
    (_share_is_raised_before_its_write, _race_to_join),
    (_lapse_is_forgotten, _lapse_with_a_reclaim_on_its_way),
]


def _run_case(script):
    machine = ShareMachine()
    script(machine)
    machine.row_is_within_the_limits()
    machine.use_is_within_the_limit()


@pytest.mark.parametrize(
    ("break_shares", "script"),
    _CASES,
    ids=lambda each: each.__name__.strip("_"),
)
def test_broken_shares_are_caught(monkeypatch, break_shares, script):
    _run_case(script)
    break_shares(monkeypatch)
    with pytest.raises(AssertionError):
        _run_case(script)


@given(
    demands=st.lists(st.integers(0, 50), min_size=1, max_size=10),
    limit=st.integers(20, 60),
)
def test_targets_fill_the_limit_and_follow_demand(demands, limit):
    limits = ShareLimits(limit, 1)
    entries = {
        f"i{n}": ShareEntry(limits.floor, limits.floor, demand)
        for n, demand in enumerate(demands)
    }
    targets = compute_share_targets(entries, limits)
    total = sum(targets.values())
    assert total <= limit
    if any(demands):
        assert total == limit
    for name, entry in entries.items():
        assert targets[name] >= entry.floor
        for other, other_entry in entries.items():
            if entry.demand > other_entry.demand:
                assert targets[name] >= targets[other]


class _Site:
    """Instances that read and write without faults, once per round."""

    def __init__(self, count):
        self.now = timedelta(seconds=1)
        self.row = ShareRow()
        self.revision = 0
        self.writes = 0
        self.holders = {}
        for number in range(count):
            lease = InstanceLease()
            lease.record_renewal(self.now)
            name = f"i{number}"
            self.holders[name] = ShareHolder(name, LIMITS, lease, LeaseObserver())

    def run_round(self, connection_demand):
        for name, holder in self.holders.items():
            holder.observe(self.row, self.revision)
            want = connection_demand.get(name, 0)
            use = min(want, holder.usable_connections(self.now))
            demand = ShareDemand(use, want)
            proposal = holder.propose(demand, frozenset(self.holders), self.now)
            if proposal is None:
                continue
            self.writes += 1
            self.revision += 1
            self.row = proposal.row
            holder.record_write(proposal, self.revision)

    def usable_connections(self, name):
        return self.holders[name].usable_connections(self.now)


def test_share_moves_to_the_hot_instance_within_three_rounds():
    site = _Site(4)
    for _ in range(3):
        site.run_round({"i0": 30})
    cold = site.usable_connections("i3")
    for _ in range(3):
        site.run_round({"i3": 30})
    assert_that(site.usable_connections("i3") > 2 * cold, Equals(True))
    assert_that(
        site.usable_connections("i3") > site.usable_connections("i0"), Equals(True)
    )


def test_steady_demand_needs_no_writes():
    site = _Site(4)
    demand = {"i0": 7, "i1": 3, "i2": 12}
    for _ in range(6):
        site.run_round(demand)
    before = site.writes
    for step in range(20):
        site.run_round({name: want + step % 2 for name, want in demand.items()})
    assert_that(site.writes, Equals(before))
