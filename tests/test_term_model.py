"""Random runs over the pure decisions, judged by what callers were told."""

from datetime import timedelta

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.session.position_state import PositionState
from goldcrestpond.session.resolved_position import ResolvedPosition
from goldcrestpond.term.promotion import Promotion
from goldcrestpond.term.promotion_step import PromotionStep
from goldcrestpond.term.verified_sample import VerifiedSample

from .term_world import Rules, World

PROXIES = st.integers(0, 1)
DATABASES = st.sampled_from("abc")
INDEXES = st.integers(0, 40)
EVERY_POSITION = 1 << 62
RUNS = settings(max_examples=150, stateful_step_count=40)
# A variant only has to be found, not to be shown in its shortest run.
SEARCH = settings(max_examples=2000, stateful_step_count=40, phases=[Phase.generate])


class GroupMachine(RuleBasedStateMachine):
    """Two proxies, three databases and a table, with any two faults at once."""

    decisions = Rules()

    @initialize()
    def build(self):
        self.world = World(self.decisions)
        self.sessions = [self.world.open_session()]
        for proxy in self.world.proxies:
            self.world.see(proxy)

    def proxy(self, number):
        return self.world.proxies[number]

    @rule(number=PROXIES, database=DATABASES)
    def poll(self, number, database):
        self.proxy(number).poll(database)

    @rule(number=PROXIES)
    def poll_all(self, number):
        self.world.see(self.proxy(number))

    @rule(number=PROXIES, session=st.integers(0, 3), is_quick=st.booleans())
    def write(self, number, session, is_quick):
        self.proxy(number).write(self.sessions[session % len(self.sessions)])
        if is_quick:
            self.world.settle_messages(self.proxy(number))

    @rule(number=PROXIES, database=DATABASES)
    def commit(self, number, database):
        self.world.write(self.proxy(number), self.sessions[0], database)

    @rule(index=INDEXES)
    def deliver(self, index):
        self.world.deliver(index)

    @rule(index=INDEXES)
    def lose(self, index):
        self.world.lose(index)

    @rule(number=PROXIES)
    def deliver_all(self, number):
        self.world.settle_messages(self.proxy(number))

    @rule(database=DATABASES, count=st.integers(1, 3))
    def replicate(self, database, count):
        if database not in self.world.killed:
            self.world.databases[database].receive(count)

    @rule(database=DATABASES, count=st.integers(1, 3))
    def replay(self, database, count):
        if database not in self.world.killed:
            self.world.databases[database].replay(count)

    @rule(database=DATABASES)
    def kill(self, database):
        if len(self.world.killed) < 2:
            self.world.killed.add(database)

    @rule(database=DATABASES)
    def restart(self, database):
        self.world.killed.discard(database)

    @rule(number=PROXIES)
    def claim(self, number):
        self.proxy(number).claim()

    @rule(number=PROXIES)
    def step(self, number):
        self.proxy(number).step()

    @rule(number=PROXIES, steps=st.integers(1, 4))
    def promote(self, number, steps):
        proxy = self.proxy(number)
        proxy.claim()
        self.world.settle_messages(proxy)
        for _ in range(steps - 1):
            proxy.step()
            self.world.settle_messages(proxy)

    @rule(number=PROXIES, excluded=DATABASES, steps=st.integers(1, 4))
    def promote_without(self, number, excluded, steps):
        proxy = self.proxy(number)
        proxy.claim(excluded)
        self.world.settle_messages(proxy)
        for _ in range(steps - 1):
            proxy.step()
            self.world.settle_messages(proxy)

    @rule(number=PROXIES, database=DATABASES)
    def fence_first(self, number, database):
        """Stop the primary's writes before the others are fenced."""
        proxy = self.proxy(number)
        if proxy.promotion is not None:
            proxy.send_step(database, "fence", proxy.promotion.record_fence_answer)
            self.world.settle_messages(proxy)

    @rule(number=PROXIES, unreachable=DATABASES)
    def elect(self, number, unreachable):
        if not self.world.killed:
            self.world.elect(self.proxy(number), unreachable)

    @rule(number=PROXIES, database=DATABASES)
    def follow(self, number, database):
        primary = self.proxy(number).view.primary()
        if primary is not None and primary.status.database != database:
            status = primary.status
            self.proxy(number).follow(database, status.term, status.database)

    @rule(number=PROXIES)
    def crash(self, number):
        self.proxy(number).crash()
        self.world.see(self.proxy(number))

    @rule()
    def open_session(self):
        if len(self.sessions) < 4:
            self.sessions.append(self.world.open_session())

    @rule(number=PROXIES, session=st.integers(0, 3))
    def read(self, number, session):
        self.proxy(number).read(self.sessions[session % len(self.sessions)], None)

    @rule(number=PROXIES, age_ms=st.sampled_from([50, 400]))
    def read_aged(self, number, age_ms):
        session = self.world.open_session()
        self.proxy(number).read(session, timedelta(milliseconds=age_ms))

    @rule(step_ms=st.sampled_from([1, 30, 300]))
    def advance(self, step_ms):
        self.world.now += timedelta(milliseconds=step_ms)

    @invariant()
    def promises_hold(self):
        if hasattr(self, "world"):
            self.world.check()


def test_promises_hold():
    run_state_machine_as_test(GroupMachine, settings=RUNS)


# Broken variants: each breaks one rule, and some run must show it.


def on_the_primarys_word(view, now):
    primary = view.primary()
    return primary and LogPosition(primary.status.term, EVERY_POSITION)


def across_terms(view, now):
    """Count every database at the position, whatever its history."""
    primary = view.primary()
    held = sorted(s.status.position for s in view.samples() if s is not primary)
    if primary is None or not held:
        return None
    return LogPosition(primary.status.term, held[-1])


def sampled_on_the_primarys_word(view):
    primary = view.primary()
    if primary is None:
        return None
    status = primary.status
    return VerifiedSample(LogPosition(status.term, status.position), primary.sent_at)


class WithoutFence(Promotion):
    """Promotes as soon as the candidate itself has joined."""

    def __init__(self, databases, term, promoter, excluded=""):
        super().__init__(databases, term, promoter, excluded=excluded)
        self._majority = 1


class LowestCandidate(Promotion):
    """Promotes the first to answer, whatever it lacks."""

    def _candidate_rank(self, status):
        return (-status.last_entry_term, -status.position)


class LongestCandidate(Promotion):
    """Compares positions of different terms."""

    def _candidate_rank(self, status):
        return (status.position, status.last_entry_term)


class SecondCandidate(Promotion):
    """Turns to another candidate when the first does not answer."""

    def databases_to_fence(self):
        if self.step is PromotionStep.PROMOTING:
            names = sorted(self._fence_answers)
            index = names.index(self.candidate)
            self.candidate = names[(index + 1) % len(names)]
        return super().databases_to_fence()


def floor_of_any_term(min_position, present_term, starts):
    return ResolvedPosition(PositionState.COMPARABLE, min_position.position)


# Shortest runs to variants that random runs seldom meet.


def acknowledged_alone(world, first, second, session):
    world.write(first, session)
    world.elect(second, "a")


def minority_of_both_terms(world, first, second, session):
    """The old primary holds more than the new one, but of another history."""
    for _ in range(3):
        world.write(first, session)
    world.elect(second, "a")
    world.databases["a"].replay(9)
    world.see(second)
    world.write(second, session)
    world.elect(second, "b")


def longer_old_log(world, first, second, session):
    for _ in range(3):
        world.write(first, session)
    world.elect(second, "a")
    world.write(second, session, "c")
    world.elect(second, "b")


def roamed_to_a_cut_off_proxy(world, first, second, session):
    world.elect(second, "a")
    world.write(second, session, "c")
    opened = world.open_session()
    first.read(opened, None)
    world.see(first, "a")
    first.read(opened, None)
    world.settle_messages(first)


def replaced_database_is_longer(world, first, second, session):
    for _ in range(3):
        world.write(first, session)
    world.elect(second, "a")
    world.write(second, session, "c")
    world.see(second)
    second.read(session, None)
    world.settle_messages(second)


def minority_of_five_is_longer(world, first, second, session):
    for _ in range(3):
        world.write(first, session, "c")
    world.databases["c"].replay(9)
    world.see(first)
    world.elect(second, "ac")
    world.write(second, session, "de")
    first.read(session, None)
    world.settle_messages(first)


def late_answers(world, first, second, session):
    for name in world.databases:
        first.poll(name)
    for _ in world.databases:
        world.deliver(0)
    world.write(second, session, "b")
    world.now += timedelta(milliseconds=500)
    world.settle_messages(first)
    first.read(world.open_session(), timedelta(milliseconds=400))
    world.settle_messages(first)


def run_script(script, rules, names="abc"):
    world = World(rules, names)
    for proxy in world.proxies:
        world.see(proxy)
    script(world, *world.proxies, world.open_session())
    world.check()


SCRIPTS = {
    "ack_on_the_primarys_word": (
        acknowledged_alone,
        Rules(confirmed=on_the_primarys_word),
    ),
    "ack_across_terms": (minority_of_both_terms, Rules(confirmed=across_terms)),
    "longest_candidate": (longer_old_log, Rules(make_promotion=LongestCandidate)),
    "floor_on_the_primarys_word": (
        roamed_to_a_cut_off_proxy,
        Rules(verified=sampled_on_the_primarys_word),
    ),
    "serve_any_term": (
        replaced_database_is_longer,
        Rules(serves=lambda status, term: True),
    ),
    "floor_of_any_term": (
        minority_of_five_is_longer,
        Rules(resolve=floor_of_any_term),
    ),
    "age_by_arrival": (
        late_answers,
        Rules(sampled_after=lambda sample, now: now),
    ),
}


@pytest.mark.parametrize("variant", SCRIPTS)
def test_scripted_run_catches_the_variant(variant):
    script, broken = SCRIPTS[variant]
    names = "abcde" if script is minority_of_five_is_longer else "abc"
    run_script(script, Rules(), names)
    with pytest.raises(AssertionError):
        run_script(script, broken, names)


SEARCHED = {
    "promote_without_fence": Rules(make_promotion=WithoutFence),
    "lowest_candidate": Rules(make_promotion=LowestCandidate),
    "second_candidate": Rules(make_promotion=SecondCandidate),
    "claim_without_condition": Rules(is_conditional=False),
    "claim_taken_as_won": Rules(has_issued=lambda row, term, promoter: True),
}


@pytest.mark.parametrize("variant", SEARCHED)
def test_random_runs_catch_the_variant(variant):
    class BrokenMachine(GroupMachine):
        decisions = SEARCHED[variant]

    with pytest.raises(AssertionError):
        run_state_machine_as_test(BrokenMachine, settings=SEARCH)
