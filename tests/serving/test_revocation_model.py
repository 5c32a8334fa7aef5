"""A model of instances that pass on which keys are in use, under faults.

Each version of the configuration withdraws the key of the one before. Calls of the
store and questions to other instances are in flight for any time, or are lost;
instances freeze, restart, and have clocks that are wrong. What is checked: an instance
that proves its configuration knows of each withdrawal that is older than the limit.
Each broken variant must be caught by that check.
"""

from datetime import timedelta
from types import SimpleNamespace

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.relay import messages
from goldcrestpond.serving import proven_age
from goldcrestpond.serving.follower_list import FollowerList
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.proven_age import ProvenAge, compute_proof_limit
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.tables.table_follower import TableFollower
from goldcrestpond.tables.table_server import TableServer

from ..line_world import ListLog
from .test_leadership import ms

LIMIT = ms(5000)
TABLE = "op"
# Relative errors of the clocks, up to what the margin of the proof covers.
RATES = (1.0, 0.91, 1.09)


def is_older(known, value):
    return int(value) < int(known)


class Store:
    """Rows of the operator, with all times at which a version was confirmed."""

    def __init__(self, world):
        self.world = world
        self.version, self.row_version, self.era = 0, 0, 1
        self.confirmed = {}
        self._saved = (0, 0)

    def write(self):
        """Write a version that withdraws the key of the one before."""
        self.version = max(self.confirmed, default=0) + 1
        self.row_version += 1
        self.confirmed[self.version] = self.world.now

    def save(self):
        self._saved = (self.version, self.row_version)

    def restore(self):
        self.version, self.row_version = self._saved
        self.era += 1

    def rows(self):
        value = str(self.version).encode()
        return [StoredRow(TABLE, "", "config", value, self.row_version)]


class Node:
    """One instance: its clock, its copy of the configuration and its proof."""

    def __init__(self, world, name, rate, variant):
        self.world, self.name, self.rate = world, name, rate
        self.variant = variant
        self.local = timedelta(days=40)
        self.is_frozen = False
        self.restart()

    def restart(self):
        self.version = 0
        self.run_id = object()  # messages of an earlier run are not for this one
        older = self.variant.get("is_older", is_older)
        self.copy = TableCopy(
            TABLE, self._apply, self._apply, offer=self._apply, is_older=older
        )
        self.proof = ProvenAge(compute_proof_limit(LIMIT), self.read_age)
        clock = SimpleNamespace(now=self.now)
        log = ListLog()
        self.server = TableServer(
            [self.copy], FollowerList(), lambda: "reader", clock, log
        )
        # What `TableFollower._apply` uses of its object.
        self.follower = SimpleNamespace(
            _clock=clock,
            _feeds={TABLE: SimpleNamespace(copy=self.copy)},
            _era=StoreEra(clock, log, Metrics()),
            _age_limits={},
            _is_fresh=lambda: True,
        )

    def now(self):
        return self.local

    def read_age(self):
        age = self.copy.age(self.local)
        return self.variant.get("read_age", lambda age: age)(age)

    def advance(self, span):
        if not self.is_frozen or self.variant.get("counts_suspension", True):
            self.local += span * self.rate

    def _apply(self, rows):
        for row in rows:
            if not self.variant.get("goes_back", False):
                self.version = max(self.version, int(row.value))
            else:
                self.version = int(row.value)

    # A call of the store: sent, read there, answered.
    def read(self, store):
        return self._confirm_read, self.local, (store.rows(), store.era)

    def _confirm_read(self, sent_at, answer):
        rows, era = answer
        if self.variant.get("confirms", "sent") == "answered":
            sent_at = self.local
        self.follower._era.accept_era(era)
        if self.copy.replace(rows, era, rows[0].version):
            self.copy.confirm(sent_at)

    # A question to another instance.
    def ask(self, other):
        known = messages.KnownTable(TABLE, self.copy.era, self.copy.version)
        request = SimpleNamespace(tables=[known])
        found = other.server._find_changes(request)
        tables = [
            messages.ChangedTable(
                each.table,
                each.era,
                each.version,
                [
                    messages.ChangedRow(r.part, r.key, r.value, r.version)
                    for r in each.rows
                ],
                each.is_whole,
                self.variant.get("told_age", lambda age: age)(each.age) / ms(1),
            )
            for each in found
        ]
        answer = messages.Followed(tables, "reader", 0.0)
        return self._confirm_followed, self.local, answer

    def _confirm_followed(self, sent_at, answer):
        if self.variant.get("confirms", "sent") == "answered":
            sent_at = self.local
        TableFollower._apply(self.follower, answer, sent_at)


class World:
    """True time, the store, three instances, and what is in flight between them."""

    def __init__(self, variant):
        self.now = timedelta(0)
        self.store = Store(self)
        self.store.write()
        self.store.save()
        self.nodes = [
            Node(self, f"i{n}", rate, variant) for n, rate in enumerate(RATES)
        ]
        self.in_flight = []

    def step(self, kind, first, second):
        node = self.nodes[first % len(self.nodes)]
        other = self.nodes[second % len(self.nodes)]
        match kind:
            case "write":
                self.store.write()
            case "save":
                self.store.save()
            case "return":
                self.store.restore()
                self.store.version = max(self.store.confirmed)  # written again
                self.store.row_version += 1
            case "read" if not node.is_frozen:
                self.in_flight.append((node, node.run_id, *node.read(self.store)))
            case "ask" if not (node.is_frozen or other.is_frozen):
                self.in_flight.append((node, node.run_id, *node.ask(other)))
            case "lose" if self.in_flight:
                self.in_flight.pop(first % len(self.in_flight))
            case "answer" if self.in_flight:
                self._answer(first % len(self.in_flight))
            case "freeze":
                node.is_frozen = not node.is_frozen
            case "restart":
                node.is_frozen = False
                node.restart()
            case "wait":
                self.wait(ms(300) * (1 + second))
        self.check()

    def _answer(self, index):
        node, run_id, confirm, sent_at, answer = self.in_flight[index]
        if node.is_frozen:
            return
        del self.in_flight[index]
        if node.run_id is run_id:
            confirm(sent_at, answer)

    def wait(self, span):
        self.now += span
        for node in self.nodes:
            node.advance(span)

    def check(self):
        """Check that no instance serves a key beyond the limit after its withdrawal."""
        for node in self.nodes:
            if node.is_frozen or not node.proof.is_proven():
                continue
            confirmed = self.store.confirmed.items()
            due = [v for v, at in confirmed if at <= self.now - LIMIT]
            assert_that(node.version >= max(due, default=0), Is(True))


def run_steps(steps, **variant):
    world = World(variant)
    for step in steps:
        world.step(*step)
    return world


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["write", "read", "ask", "answer", "answer", "answer", "wait", "wait"]
            + ["lose", "freeze", "restart", "save", "return"]
        ),
        st.integers(0, 5),
        st.integers(0, 5),
    ),
    max_size=60,
)


@settings(max_examples=300)
@given(_STEPS)
def test_no_instance_serves_a_key_beyond_the_limit(steps):
    run_steps(steps)


def test_proof_is_regained_with_the_first_answer():
    world = run_steps([("read", 0, 0), ("answer", 0, 0), ("wait", 0, 15)])
    world.step("wait", 0, 15)
    assert_that(world.nodes[0].proof.is_proven(), Is(False))
    world.step("read", 0, 0)
    world.step("answer", 0, 0)
    assert_that(world.nodes[0].proof.is_proven(), Is(True))


_LEARN = [("read", 0, 0), ("answer", 0, 0)]
_WAIT_LONG = [("wait", 0, 5)] * 3  # 5.4 s
_FAULTS = {
    # The answer to the instance's next call is lost.
    "loss": [*_LEARN, ("write", 0, 0), ("read", 0, 0), ("lose", 0, 0), *_WAIT_LONG],
    # An answer that was read before the withdrawal arrives late.
    "delay": [("read", 0, 0), ("write", 0, 0), *_WAIT_LONG, ("answer", 0, 0)],
    "freeze": [
        *_LEARN,
        ("write", 0, 0),
        ("freeze", 0, 0),
        *_WAIT_LONG,
        ("freeze", 0, 0),
    ],
    # Another instance, which reads the store, is cut off from it.
    "reader cut off": [
        *_LEARN,
        ("write", 0, 0),
        *_WAIT_LONG,
        ("ask", 1, 0),
        ("answer", 0, 0),
    ],
    # Two instances that ask each other, while neither has read for long.
    "circle": [
        *_LEARN,
        ("ask", 1, 0),
        ("answer", 0, 0),
        ("write", 0, 0),
        *[("wait", 0, 5), ("ask", 0, 1), ("answer", 0, 0), ("ask", 1, 0)] * 4,
    ],
    # The instance's clock is slow by what the margin covers.
    "slow clock": [
        ("read", 1, 0),
        ("answer", 0, 0),
        ("write", 0, 0),
        *[("wait", 0, 0)] * 17,
    ],
    # It begins again, and knows nothing until it has asked.
    "restart": [
        *_LEARN,
        ("write", 0, 0),
        *_WAIT_LONG,
        ("restart", 1, 0),
        ("ask", 1, 0),
        ("answer", 0, 0),
    ],
}


@pytest.mark.parametrize("fault", _FAULTS)
def test_fault_ends_the_proof_in_time(fault):
    run_steps(_FAULTS[fault])


# Broken variants: each must be caught by the check above.
@pytest.mark.parametrize(
    ("fault", "variant"),
    [
        ("loss", {"read_age": lambda age: ms(0)}),
        ("delay", {"confirms": "answered"}),
        ("freeze", {"counts_suspension": False}),
        ("reader cut off", {"told_age": lambda age: ms(0)}),
        ("circle", {"told_age": lambda age: ms(0)}),
        ("restart", {"told_age": lambda age: ms(0)}),
    ],
)
def test_broken_variant_is_caught(fault, variant):
    with pytest.raises(AssertionError):
        run_steps(_FAULTS[fault], **variant)


def test_proof_without_a_margin_is_caught(monkeypatch):
    monkeypatch.setattr(proven_age, "PROOF_FRACTION", 1.0)
    with pytest.raises(AssertionError):
        run_steps(_FAULTS["slow clock"])


# An instance that asks nobody counts an unknown age as young.
def test_unknown_age_that_counts_as_young_is_caught():
    steps = [("write", 0, 0), *_WAIT_LONG]
    run_steps(steps)
    with pytest.raises(AssertionError):
        run_steps(steps, read_age=lambda age: age or ms(0))


def return_from_copy(**variant):
    """Return versions in force while the store has an older copy than the instances.

    The first instance knows the withdrawal and reads the copy; the second one starts
    then and asks the first.
    """
    world = run_steps([("write", 0, 0), *_LEARN], **variant)
    world.store.restore()
    for step in [*_LEARN, ("restart", 1, 0), ("ask", 1, 0), ("answer", 0, 0)]:
        world.step(*step)
    return [node.version for node in world.nodes[:2]]


# The store is back from an older copy, in which the key is still in use.
def test_key_stays_withdrawn_while_the_store_has_an_older_copy():
    assert_that(return_from_copy(), Equals([2, 2]))


@pytest.mark.parametrize(
    "variant", [{"is_older": lambda known, value: False}, {"goes_back": True}]
)
def test_versions_that_go_back_with_the_store_are_caught(variant):
    versions = return_from_copy(**variant)
    assert_that(min(versions), Equals(1))
