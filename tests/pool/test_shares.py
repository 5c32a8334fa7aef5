"""Shares of a connection limit, and faulty variants that must be detected."""

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


def _lease_never_expires(monkeypatch):
    monkeypatch.setattr(
        InstanceLease,
        "is_held",
        lambda lease, now: lease._usable_until is not None,
    )


def _shares_are_reclaimed_early(monkeypatch):
    def has_lapsed(observer, name):
        return observer._unchanged_for(name) > LEASE_DURATION / 3

    monkeypatch.setattr(LeaseObserver, "has_lapsed", has_lapsed)


def _rows_count_as_read_too_late(monkeypatch):
    def record_read(observer, sent_at):
        observer._read_sent_at = sent_at + timedelta(seconds=15)

    monkeypatch.setattr(LeaseObserver, "record_read", record_read)


def _lower_share_applies_only_after_its_write(monkeypatch):
    usable_connections = ShareHolder.usable_connections

    def usable_unlowered(holder, now):
        holder._lowered = None
        return usable_connections(holder, now)

    monkeypatch.setattr(ShareHolder, "usable_connections", usable_unlowered)


def _higher_share_applies_before_its_write(monkeypatch):
    propose = ShareHolder.propose

    def propose_and_use(holder, demand, listed, now):
        proposal = propose(holder, demand, listed, now)
        if proposal is not None:
            holder._confirmed = proposal.row.entries[holder._instance]
        return proposal

    monkeypatch.setattr(ShareHolder, "propose", propose_and_use)


def _share_is_used_again_without_a_write(monkeypatch):
    def usable_connections(holder, now):
        limits = [n for n in (holder._lowered, holder._target) if n is not None]
        share = holder._confirmed.share
        if not holder._lease.is_held(now):
            share = min(share, holder._confirmed.floor)
        return min([share, *limits])

    monkeypatch.setattr(ShareHolder, "usable_connections", usable_connections)


def _give_all_to_a(machine):
    """Give all connections to ``a``; then ``b`` demands some."""
    for name in "ab":
        machine.renew(name, 0)
        machine.read(name, 0)
        machine.write(name, 20, 0, "ok")


def _lease_regained_during_a_reclaim(machine):
    _give_all_to_a(machine)
    machine.read("b", 0)
    machine.pass_time(33)
    machine.renew("b", 0)
    machine.read("b", 0)
    machine.write("b", 20, 0, "late")
    machine.renew("a", 0)
    machine.read("a", 0)
    machine.take_effect_late()
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _lease_expired_for_long(machine):
    _give_all_to_a(machine)
    machine.read("b", 0)
    machine.pass_time(60)
    machine.renew("b", 0)
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _lease_held_without_a_renewal(machine):
    _give_all_to_a(machine)
    machine.read("b", 0)
    machine.pass_time(12)
    machine.pass_time(5)
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _lower_share_takes_effect_late(machine):
    _give_all_to_a(machine)
    machine.read("a", 0)
    machine.write("a", 0, 0, "late")
    machine.write("a", 20, 0, "late")
    machine.take_effect_late()
    machine.read("b", 0)
    machine.write("b", 20, 0, "ok")


def _two_instances_join_at_once(machine):
    for name in "ab":
        machine.renew(name, 0)
        machine.read(name, 0)
    machine.write("a", 20, 0, "late")
    machine.write("b", 20, 0, "ok")


_CASES = [
    (_lease_never_expires, _lease_expired_for_long),
    (_shares_are_reclaimed_early, _lease_held_without_a_renewal),
    (_rows_count_as_read_too_late, _lease_held_without_a_renewal),
    (_lower_share_applies_only_after_its_write, _lower_share_takes_effect_late),
    (_higher_share_applies_before_its_write, _two_instances_join_at_once),
    (_share_is_used_again_without_a_write, _lease_regained_during_a_reclaim),
]


def _run_case(script):
    machine = ShareMachine()
    script(machine)
    machine.shares_in_the_row_are_within_the_limits()
    machine.connections_in_use_are_within_the_limit()


@pytest.mark.parametrize(
    ("break_shares", "script"),
    _CASES,
    ids=lambda each: each.__name__.strip("_"),
)
def test_faulty_shares_are_detected(monkeypatch, break_shares, script):
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
    """Instances that read the row and write their proposals once per round."""

    def __init__(self, count):
        self.now = timedelta(seconds=1)
        self.row = ShareRow()
        self.revision = 0
        self.write_count = 0
        self.holders = {}
        for number in range(count):
            lease = InstanceLease()
            lease.record_renewal(self.now)
            name = f"i{number}"
            self.holders[name] = ShareHolder(name, LIMITS, lease, LeaseObserver())

    def run_round(self, demands):
        for name, holder in self.holders.items():
            holder.observe(self.row, self.revision)
            demand_count = demands.get(name, 0)
            in_use = min(demand_count, holder.usable_connections(self.now))
            demand = ShareDemand(in_use, demand_count)
            proposal = holder.propose(demand, frozenset(self.holders), self.now)
            if proposal is None:
                continue
            self.write_count += 1
            self.revision += 1
            self.row = proposal.row
            holder.record_write(proposal, self.revision)

    def usable_connections(self, name):
        return self.holders[name].usable_connections(self.now)


def test_share_moves_to_the_instance_with_demand_within_three_rounds():
    site = _Site(4)
    for _ in range(3):
        site.run_round({"i0": 30})
    share_before = site.usable_connections("i3")
    for _ in range(3):
        site.run_round({"i3": 30})
    assert_that(site.usable_connections("i3") > 2 * share_before, Equals(True))
    assert_that(
        site.usable_connections("i3") > site.usable_connections("i0"), Equals(True)
    )


def test_steady_demand_needs_no_writes():
    site = _Site(4)
    demands = {"i0": 7, "i1": 3, "i2": 12}
    for _ in range(6):
        site.run_round(demands)
    write_count = site.write_count
    for step in range(20):
        site.run_round({name: demand + step % 2 for name, demand in demands.items()})
    assert_that(site.write_count, Equals(write_count))
