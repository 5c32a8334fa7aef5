"""State machine test of instances that share a connection limit through a table."""

from datetime import timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from goldcrestpond.pool.instance_lease import InstanceLease
from goldcrestpond.pool.lease_observer import LeaseObserver
from goldcrestpond.pool.share_demand import ShareDemand
from goldcrestpond.pool.share_holder import ShareHolder
from goldcrestpond.pool.share_limits import ShareLimits
from goldcrestpond.pool.share_row import ShareRow

LIMITS = ShareLimits(connection_limit=20, report_slot_limit=2)
_NAMES = ("a", "b", "c")


class ShareInstance:
    """One instance, whose clock has an offset and a rate of its own."""

    def __init__(self, name, offset_s, rate, holder_type):
        self.name = name
        self.offset = timedelta(seconds=offset_s)
        self.rate = rate
        self.holder_type = holder_type
        self.restart()

    def restart(self):
        self.lease = InstanceLease()
        self.observer = LeaseObserver()
        self.holder = self.holder_type(self.name, LIMITS, self.lease, self.observer)
        self.in_use = 0

    def now(self, true_time):
        return self.offset + true_time * self.rate


class ShareMachine(RuleBasedStateMachine):
    """Checks that the shares in use never exceed the limit.

    Answers may be lost or late, writes may take effect late, and leases expire.
    """

    holder_type = ShareHolder

    def __init__(self):
        super().__init__()
        self.true_time = timedelta(0)
        self.revision = 0
        self.row = (ShareRow(), 0)
        self.lease_revisions = {}
        self.in_flight = []  # proposals that may still take effect
        rates = (1.0, 1.02, 0.98)
        self.instances = {
            name: ShareInstance(name, 1000 * n, rate, self.holder_type)
            for n, (name, rate) in enumerate(zip(_NAMES, rates, strict=True))
        }

    @rule(name=st.sampled_from(_NAMES), answer_s=st.sampled_from([0, 0, 1, 15, 40]))
    def renew(self, name, answer_s):
        """Renew a lease; the answer may be delayed."""
        instance = self.instances[name]
        sent_at = instance.now(self.true_time)
        self.revision += 1
        self.lease_revisions[name] = self.revision
        self.pass_time(answer_s)
        instance.lease.record_renewal(sent_at)

    @rule(name=st.sampled_from(_NAMES), answer_s=st.sampled_from([0, 0, 1, 15]))
    def read(self, name, answer_s):
        """Read all rows as they are when the request arrives; delay the answer."""
        instance = self.instances[name]
        sent_at = instance.now(self.true_time)
        row, revision = self.row
        leases = dict(self.lease_revisions)
        self.pass_time(answer_s)
        answered_at = instance.now(self.true_time)
        for other, lease_revision in leases.items():
            instance.observer.observe(other, lease_revision, answered_at)
        instance.observer.record_read(sent_at)
        instance.holder.observe(row, revision)

    @rule(
        name=st.sampled_from(_NAMES),
        connection_demand=st.integers(0, 30),
        report_demand=st.integers(0, 3),
        outcome=st.sampled_from(["ok", "ok", "ok", "lost", "late"]),
    )
    def write(self, name, connection_demand, report_demand, outcome):
        """Write a proposed row; its answer may be lost, or its effect delayed."""
        instance = self.instances[name]
        now = instance.now(self.true_time)
        instance.in_use = min(
            connection_demand, max(instance.holder.usable_connections(now), 0)
        )
        demand = ShareDemand(instance.in_use, connection_demand, 0, report_demand)
        proposal = instance.holder.propose(demand, frozenset(_NAMES), now)
        if proposal is None:
            return
        if outcome == "late":
            self.in_flight.append(proposal)
            return
        revision = self.take_effect(proposal)
        if outcome == "ok" and revision:
            instance.holder.record_write(proposal, revision)

    @precondition(lambda machine: machine.in_flight)
    @rule()
    def take_effect_late(self):
        self.take_effect(self.in_flight.pop(0))

    @rule(name=st.sampled_from(_NAMES))
    def grow(self, name):
        """Open as many connections as may be used."""
        instance = self.instances[name]
        now = instance.now(self.true_time)
        instance.in_use = max(instance.in_use, instance.holder.usable_connections(now))

    @rule(name=st.sampled_from(_NAMES))
    def release(self, name):
        instance = self.instances[name]
        proposal = instance.holder.release()
        if proposal is not None:
            instance.in_use = 0
            self.take_effect(proposal)

    @rule(step_s=st.sampled_from([1, 5, 12, 21, 33, 60]))
    def pass_time(self, step_s):
        self.true_time += timedelta(seconds=step_s)
        for instance in self.instances.values():
            usable_connections = instance.holder.usable_connections(
                instance.now(self.true_time)
            )
            instance.in_use = min(instance.in_use, usable_connections)

    def take_effect(self, proposal):
        if proposal.expected_revision != self.row[1]:
            return 0
        self.revision += 1
        self.row = (proposal.row, self.revision)
        return self.revision

    @invariant()
    def shares_in_the_row_are_within_the_limits(self):
        row = self.row[0]
        assert row.free_connections(LIMITS.connection_limit) >= 0
        assert row.free_report_slots(LIMITS.report_slot_limit) >= 0
        assert all(entry.share >= entry.floor for entry in row.entries.values())

    @invariant()
    def connections_in_use_are_within_the_limit(self):
        usable_connections = 0
        for instance in self.instances.values():
            usable = instance.holder.usable_connections(instance.now(self.true_time))
            assert usable >= 0
            usable_connections += max(usable, instance.in_use if usable else 0)
        assert usable_connections <= LIMITS.connection_limit
