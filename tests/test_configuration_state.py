"""Model test of how configurations spread from the table and between peers.

Messages are lost, duplicated and reordered; processes restart and pause; clocks
jump. The same model must find the fault in each broken variant of the state.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)
from testtools.assertions import MismatchError, assert_that
from testtools.matchers import (
    Equals,
    GreaterThan,
    HasLength,
    Is,
    LessThan,
    Not,
)

from goldcrestpond.configuration import configuration_state
from goldcrestpond.configuration.configuration_change import ConfigurationChange
from goldcrestpond.configuration.configuration_delta import ConfigurationDelta
from goldcrestpond.configuration.configuration_snapshot import ConfigurationSnapshot
from goldcrestpond.configuration.configuration_state import (
    PAUSE_LIMIT,
    ConfigurationState,
)
from goldcrestpond.configuration.read_interval import (
    FAST_READ_INTERVAL,
    READER_COUNT,
    read_interval,
)
from goldcrestpond.configuration.revision_count import (
    RevisionCount,
    count_in_force,
    merge_counts,
)

_NODES = st.integers(0, 2)
_KEYS = st.sampled_from(["a", "b", "c"])


@dataclass
class Answer:
    """An answer of the table or of a peer that is in flight to a node."""

    target: int
    epoch: int
    revision: int
    update: object
    confirms: bool
    cursor: int = 0


@dataclass
class Node:
    """A process, with what the test checks it against.

    ``floor`` is the lowest revision that it may serve while it is confirmed,
    ``highest`` the highest that it has had.
    """

    state: ConfigurationState
    now: timedelta
    floor: int = 0
    cursor: int = 0
    highest: int = 0


@dataclass
class History:
    """The table, and every state of the configuration that it has had."""

    revision: int = 0
    rows: dict = field(default_factory=dict)
    last_changes: dict = field(default_factory=dict)
    states: dict = field(default_factory=lambda: {0: {}})

    def write(self, key, value):
        self.revision += 1
        change = ConfigurationChange(key, self.revision, value)
        self.last_changes[key] = change
        self.rows = {k: row for k, row in self.rows.items() if k != key}
        if value is not None:
            self.rows[key] = change
        self.states[self.revision] = self.rows

    def changes_after(self, revision):
        changes = [
            change
            for change in self.last_changes.values()
            if change.revision > revision
        ]
        return sorted(changes, key=lambda change: change.revision)


class SpreadMachine(RuleBasedStateMachine):
    """Nodes that read the table and send one another updates."""

    state_type = ConfigurationState

    @initialize(seed=st.integers(0, 2**32), node_count=st.integers(2, 3))
    def start(self, seed, node_count):
        self.rng = random.Random(seed)
        self.history = History()
        self.in_flight = deque(maxlen=12)
        self.nodes = [self.make_node() for _ in range(node_count)]
        for key in "abc":
            self.history.write(key, b"0")
        for node in self.nodes:
            self.read_table(node, at_once=True)

    def make_node(self):
        now = timedelta(seconds=self.rng.randrange(1000))
        return Node(self.state_type(now, self.rng), now)

    @rule(key=_KEYS, value=st.sampled_from([None, b"1"]), others=st.integers(0, 1))
    def operator_writes(self, key, value, others):
        self.history.revision += others
        self.history.write(key, value)

    @rule(skipped=_NODES)
    def all_but_one_read(self, skipped):
        for index, node in enumerate(self.nodes):
            if index != skipped:
                self.read_table(node, at_once=True)

    @rule(index=_NODES, at_once=st.booleans())
    def one_reads(self, index, at_once):
        self.read_table(self.node(index), at_once)

    # The peer may answer a previous process at this address, whose revision differed.
    @rule(index=_NODES, peer=_NODES, lag=st.integers(-3, 3), at_once=st.booleans())
    def one_asks_a_peer(self, index, peer, lag, at_once):
        node, other = self.node(index), self.other(index, peer).state
        update = other.make_update_after(max(0, node.state.revision - lag))
        self.send(node, update, other)
        if at_once:
            self.deliver_to_node(self.in_flight.pop())

    @rule(index=_NODES, peer=_NODES, lag=st.integers(0, 4))
    def one_pushes_what_a_peer_may_lack(self, index, peer, lag):
        other = self.other(index, peer).state
        update = other.make_update_after(max(0, other.revision - lag))
        if update is not None:
            self.send(self.node(index), update, other)
            self.in_flight[-1].confirms = False

    @precondition(lambda self: self.in_flight)
    @rule(pick=st.integers(0, 11), is_doubled=st.booleans())
    def deliver(self, pick, is_doubled):
        answer = self.in_flight[pick % len(self.in_flight)]
        if not is_doubled:
            self.in_flight.remove(answer)
        self.deliver_to_node(answer)

    def node(self, index):
        return self.nodes[index % len(self.nodes)]

    def other(self, index, offset):
        others = [node for node in self.nodes if node is not self.node(index)]
        return others[offset % len(others)]

    def send(self, node, update, other):
        if update is not None:
            assert_that(other.is_confirmed, Is(True))
        index, epoch = self.nodes.index(node), node.state.epoch
        self.in_flight.append(
            Answer(index, epoch, other.revision, update, other.is_confirmed)
        )

    def read_table(self, node, at_once):
        base, epoch = node.state.revision, node.state.epoch
        changes = self.history.changes_after(max(node.cursor, base))
        update = None
        if changes:
            update = ConfigurationDelta(base, changes[-1].revision, changes)
        newest = changes[-1].revision if changes else base
        cursor = self.history.revision
        answer = Answer(self.nodes.index(node), epoch, newest, update, True, cursor)
        if at_once:
            self.deliver_to_node(answer)
        else:
            self.in_flight.append(answer)

    def deliver_to_node(self, answer):
        node = self.nodes[answer.target]
        node.state.observe_time(node.now)
        node.state.apply_answer(
            answer.epoch, answer.revision, answer.update, answer.confirms
        )
        if answer.epoch == node.state.epoch:
            node.cursor = max(node.cursor, answer.cursor)
        self.check(node)

    @rule(index=_NODES, pause=st.integers(11, 4000), backward=st.booleans())
    def pause(self, index, pause, backward):
        node = self.node(index)
        node.now += timedelta(seconds=-pause if backward else pause)
        self.set_floor(node)
        node.state.observe_time(node.now)
        self.check(node)

    @rule(index=_NODES)
    def restart(self, index):
        index %= len(self.nodes)
        self.nodes[index] = self.make_node()
        self.set_floor(self.nodes[index])

    @rule(index=_NODES)
    def tick(self, index):
        node = self.node(index)
        node.now += PAUSE_LIMIT
        was_confirmed = node.state.is_confirmed
        node.state.observe_time(node.now)
        assert_that(node.state.is_confirmed, Is(was_confirmed))
        self.check(node)

    def set_floor(self, node):
        """Set the lowest revision that the node may serve: the lowest of all others."""
        others = [other for other in self.nodes if other is not node]
        revisions = [other.state.revision for other in others]
        node.floor = min([self.history.revision, *revisions])

    def check(self, node):
        state = node.state
        assert_that(state.revision, Not(LessThan(node.highest)))
        node.highest = state.revision
        assert_that(state.rows, Equals(self.history.states[state.revision]))
        if state.is_confirmed:
            assert_that(state.revision, Not(LessThan(node.floor)))

    def teardown(self):
        for node in getattr(self, "nodes", []):
            self.read_table(node, at_once=True)
            assert_that(node.state.rows, Equals(self.history.rows))
            assert_that(node.state.is_confirmed, Is(True))


class AppliesOlder(ConfigurationState):
    """Applies any update, even one to an older revision."""

    def apply(self, update):
        self.revision = min(self.revision, update.revision - 1)
        return super().apply(update)


class IgnoresGaps(ConfigurationState):
    """Applies a delta whose base it has not reached."""

    def apply(self, update):
        if isinstance(update, ConfigurationDelta):
            update = ConfigurationDelta(0, update.revision, update.changes)
        return super().apply(update)


class ForgetsDeletions(ConfigurationState):
    """Omits deletions from the deltas that it gives to peers."""

    def make_update_after(self, revision):
        update = super().make_update_after(revision)
        if isinstance(update, ConfigurationDelta):
            changes = [each for each in update.changes if each.value is not None]
            return ConfigurationDelta(update.base_revision, update.revision, changes)
        return update


class MergesSnapshots(ConfigurationState):
    """Keeps rows that a snapshot no longer has."""

    def _replace_rows(self, snapshot):
        merged = {**self.rows, **{each.key: each for each in snapshot.changes}}
        changes = list(merged.values())
        super()._replace_rows(ConfigurationSnapshot(snapshot.revision, changes))


class TrustsOldAnswers(ConfigurationState):
    """Accepts an answer to a request from before its pause as confirmation."""

    def _confirm(self, epoch):
        super()._confirm(self.epoch)


class CountsEpochsFromOne(ConfigurationState):
    """Accepts an answer to the previous process at its address."""

    def __init__(self, now, rng):
        super().__init__(now, rng)
        self.epoch = 1


class ConfirmsBehind(ConfigurationState):
    """Accepts an answer as confirmation although it still lacks changes."""

    def apply_answer(self, epoch, revision, update, is_confirmed):
        return super().apply_answer(epoch, 0, update, is_confirmed)


class IgnoresPauses(ConfigurationState):
    """Stays confirmed after a pause."""

    def observe_time(self, now):
        pass


class SpreadsUnconfirmed(ConfigurationState):
    """Gives its revision to peers before it is confirmed."""

    def make_update_after(self, revision):
        was_confirmed, self.is_confirmed = self.is_confirmed, True
        update = super().make_update_after(revision)
        self.is_confirmed = was_confirmed
        return update


class IgnoresLogBase(ConfigurationState):
    """Gives deltas for revisions that its log no longer covers."""

    def make_update_after(self, revision):
        self._log_base_revision = 0
        return super().make_update_after(revision)


_BROKEN = [
    AppliesOlder,
    IgnoresGaps,
    ForgetsDeletions,
    MergesSnapshots,
    TrustsOldAnswers,
    CountsEpochsFromOne,
    ConfirmsBehind,
    IgnoresPauses,
    SpreadsUnconfirmed,
    IgnoresLogBase,
]


def run_machine(state_type, example_count, phases=tuple(Phase)):
    """Run the model with a class of state."""
    machine = type("Machine", (SpreadMachine,), {"state_type": state_type})
    chosen = settings(max_examples=example_count, stateful_step_count=50, phases=phases)
    run_state_machine_as_test(machine, settings=chosen)


@pytest.fixture
def short_log(monkeypatch):
    """Shorten the log of changes so that snapshots are needed."""
    monkeypatch.setattr(configuration_state, "MAX_LOGGED_CHANGES", 2)


def test_nodes_have_exact_rising_and_confirmed_revisions(short_log):
    run_machine(ConfigurationState, 600)


@pytest.mark.parametrize("broken", _BROKEN, ids=lambda broken: broken.__name__)
def test_model_detects_broken_variants(short_log, broken):
    with pytest.raises(MismatchError):
        run_machine(broken, 6000, phases=(Phase.generate,))


@given(st.lists(st.integers(1, 60), min_size=1, max_size=12), st.integers(0, 99))
def test_read_rate_of_a_partitioned_fleet_is_bounded(part_sizes, salt):
    total = sum(part_sizes)
    reads_per_second = 0.0
    for number, size in enumerate(part_sizes):
        part = [f"i{salt}-{number}-{index}" for index in range(size)]
        intervals = [read_interval(name, part, total) for name in part]
        reads_per_second += sum(1 / each.total_seconds() for each in intervals)
    assert_that(reads_per_second, Not(GreaterThan(_read_bound())))


@pytest.mark.parametrize("instance_count", [1, 8, 200, 5800])
def test_read_rate_of_a_connected_fleet_is_bounded(instance_count):
    names = [f"instance-{index}" for index in range(instance_count)]
    intervals = [read_interval(name, names, instance_count) for name in names]
    fast = [interval for interval in intervals if interval == FAST_READ_INTERVAL]
    assert_that(fast, HasLength(min(READER_COUNT, instance_count)))
    total = sum(1 / interval.total_seconds() for interval in intervals)
    assert_that(total, Not(GreaterThan(_read_bound())))


def _read_bound():
    """Return the highest reads per second: those of fast readers and 5 of others."""
    return READER_COUNT / FAST_READ_INTERVAL.total_seconds() + 5 + 1e-6


_COUNTS = st.lists(
    st.builds(RevisionCount, st.integers(0, 60), st.integers(1, 9)), max_size=40
)


@given(_COUNTS, _COUNTS, st.integers(0, 60))
def test_merged_counts_never_exceed_exact_counts(first, second, revision):
    exact = count_in_force([*first, *second], revision)
    in_force, live = count_in_force(merge_counts([first, second]), revision)
    assert_that(live, Equals(exact[1]))
    assert_that(in_force, Not(GreaterThan(exact[0])))
    lowest = min((entry.revision for entry in [*first, *second]), default=0)
    assert_that(count_in_force(merge_counts([first, second]), lowest)[0], Equals(live))
