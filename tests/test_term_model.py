"""Random runs of the term decisions, checked against what callers were answered."""

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
MAX_POSITION = 1 << 62
RUN_SETTINGS = settings(max_examples=150, stateful_step_count=40)
# Without shrinking: it suffices that some run shows the fault of a variant.
SEARCH_SETTINGS = settings(
    max_examples=2000, stateful_step_count=40, phases=[Phase.generate]
)


class GroupMachine(RuleBasedStateMachine):
    """Two proxies, three databases and a table.

    Up to two databases are down at once; proxies crash, and messages are lost,
    delayed and reordered.
    """

    decisions = Rules()

    @initialize()
    def build(self):
        self.world = World(self.decisions)
        self.sessions = [self.world.open_session()]
        for proxy in self.world.proxies:
            self.world.poll_all(proxy)

    def proxy(self, number):
        return self.world.proxies[number]

    @rule(number=PROXIES, database=DATABASES)
    def poll(self, number, database):
        self.proxy(number).poll(database)

    @rule(number=PROXIES)
    def poll_all(self, number):
        self.world.poll_all(self.proxy(number))

    @rule(number=PROXIES, session=st.integers(0, 3), is_quick=st.booleans())
    def write(self, number, session, is_quick):
        self.proxy(number).write(self.sessions[session % len(self.sessions)])
        if is_quick:
            self.world.deliver_all_of(self.proxy(number))

    @rule(number=PROXIES, database=DATABASES)
    def commit(self, number, database):
        self.world.write(self.proxy(number), self.sessions[0], database)

    @rule(index=INDEXES)
    def deliver(self, index):
        self.world.deliver_message(index)

    @rule(index=INDEXES)
    def lose(self, index):
        self.world.drop_message(index)

    @rule(number=PROXIES)
    def deliver_all(self, number):
        self.world.deliver_all_of(self.proxy(number))

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
    def request_term(self, number):
        self.proxy(number).request_term()

    @rule(number=PROXIES)
    def step(self, number):
        self.proxy(number).step()

    @rule(number=PROXIES, steps=st.integers(1, 4))
    def promote(self, number, steps):
        proxy = self.proxy(number)
        proxy.request_term()
        self.world.deliver_all_of(proxy)
        for _ in range(steps - 1):
            proxy.step()
            self.world.deliver_all_of(proxy)

    @rule(number=PROXIES, excluded=DATABASES, steps=st.integers(1, 4))
    def promote_without(self, number, excluded, steps):
        proxy = self.proxy(number)
        proxy.request_term(excluded)
        self.world.deliver_all_of(proxy)
        for _ in range(steps - 1):
            proxy.step()
            self.world.deliver_all_of(proxy)

    @rule(number=PROXIES, database=DATABASES)
    def fence_first(self, number, database):
        """Stop the primary's writes before the others are fenced."""
        proxy = self.proxy(number)
        if proxy.promotion is not None:
            proxy.send_step(database, "fence", proxy.promotion.record_fence_answer)
            self.world.deliver_all_of(proxy)

    @rule(number=PROXIES, unreachable=DATABASES)
    def promote_while_unreachable(self, number, unreachable):
        if not self.world.killed:
            self.world.promote_while_unreachable(self.proxy(number), unreachable)

    @rule(number=PROXIES, database=DATABASES)
    def follow(self, number, database):
        primary = self.proxy(number).view.primary()
        if primary is not None and primary.status.database != database:
            status = primary.status
            self.proxy(number).follow(database, status.term, status.database)

    @rule(number=PROXIES)
    def crash(self, number):
        self.proxy(number).crash()
        self.world.poll_all(self.proxy(number))

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
    def guarantees_hold(self):
        if hasattr(self, "world"):
            self.world.check()


# Guards against lost, duplicated or wrongly acknowledged writes and stale reads,
# under crashes, promotions, and delayed, reordered and lost messages.
def test_guarantees_hold_under_random_faults():
    run_state_machine_as_test(GroupMachine, settings=RUN_SETTINGS)


# Broken variants: each breaks one decision, and some run must violate a guarantee.


def confirm_primary_position_alone(view, now):
    primary = view.primary()
    return primary and LogPosition(primary.status.term, MAX_POSITION)


def confirm_across_terms(view, now):
    """Count each database's position, even if its log has another history."""
    primary = view.primary()
    replica_positions = sorted(
        s.status.position for s in view.samples() if s is not primary
    )
    if primary is None or not replica_positions:
        return None
    return LogPosition(primary.status.term, replica_positions[-1])


def verify_primary_position_alone(view):
    primary = view.primary()
    if primary is None:
        return None
    status = primary.status
    return VerifiedSample(LogPosition(status.term, status.position), primary.sent_at)


class WithoutFence(Promotion):
    """Promotes as soon as the candidate itself has joined the term."""

    def __init__(self, databases, term, promoter, excluded=""):
        super().__init__(databases, term, promoter, excluded=excluded)
        self._majority = 1


class LowestCandidate(Promotion):
    """Promotes the database whose last entry is the oldest."""

    def _candidate_rank(self, status):
        return (-status.last_entry_term, -status.position)


class LongestCandidate(Promotion):
    """Promotes the longest log, whatever the term of its last entry."""

    def _candidate_rank(self, status):
        return (status.position, status.last_entry_term)


class SecondCandidate(Promotion):
    """Chooses another candidate if the first one does not answer."""

    def databases_to_fence(self):
        if self.step is PromotionStep.PROMOTING:
            names = sorted(self._fence_answers)
            index = names.index(self.candidate)
            self.candidate = names[(index + 1) % len(names)]
        return super().databases_to_fence()


def resolve_position_of_any_term(min_position, present_term, starts):
    return ResolvedPosition(PositionState.COMPARABLE, min_position.position)


# Scripted runs that show variants which random runs rarely show.


def ack_without_replica(world, first, second, session):
    world.write(first, session)
    world.promote_while_unreachable(second, "a")


def minority_of_both_terms(world, first, second, session):
    """The old primary's log is longer than the new one's, but differs from it."""
    for _ in range(3):
        world.write(first, session)
    world.promote_while_unreachable(second, "a")
    world.databases["a"].replay(9)
    world.poll_all(second)
    world.write(second, session)
    world.promote_while_unreachable(second, "b")


def old_log_is_longer(world, first, second, session):
    for _ in range(3):
        world.write(first, session)
    world.promote_while_unreachable(second, "a")
    world.write(second, session, "c")
    world.promote_while_unreachable(second, "b")


def session_moves_to_a_cut_off_proxy(world, first, second, session):
    world.promote_while_unreachable(second, "a")
    world.write(second, session, "c")
    new_session = world.open_session()
    first.read(new_session, None)
    world.poll_all(first, "a")
    first.read(new_session, None)
    world.deliver_all_of(first)


def replaced_database_is_longer(world, first, second, session):
    for _ in range(3):
        world.write(first, session)
    world.promote_while_unreachable(second, "a")
    world.write(second, session, "c")
    world.poll_all(second)
    second.read(session, None)
    world.deliver_all_of(second)


def minority_of_five_is_longer(world, first, second, session):
    for _ in range(3):
        world.write(first, session, "c")
    world.databases["c"].replay(9)
    world.poll_all(first)
    world.promote_while_unreachable(second, "ac")
    world.write(second, session, "de")
    first.read(session, None)
    world.deliver_all_of(first)


def late_answers(world, first, second, session):
    for name in world.databases:
        first.poll(name)
    for _ in world.databases:
        world.deliver_message(0)
    world.write(second, session, "b")
    world.now += timedelta(milliseconds=500)
    world.deliver_all_of(first)
    first.read(world.open_session(), timedelta(milliseconds=400))
    world.deliver_all_of(first)


def run_scenario(script, rules, names="abc"):
    world = World(rules, names)
    for proxy in world.proxies:
        world.poll_all(proxy)
    script(world, *world.proxies, world.open_session())
    world.check()


SCRIPTED_VARIANTS = {
    "ack_by_the_primary_alone": (
        ack_without_replica,
        Rules(confirmed_position=confirm_primary_position_alone),
    ),
    "ack_across_terms": (
        minority_of_both_terms,
        Rules(confirmed_position=confirm_across_terms),
    ),
    "longest_candidate": (old_log_is_longer, Rules(make_promotion=LongestCandidate)),
    "min_position_by_the_primary_alone": (
        session_moves_to_a_cut_off_proxy,
        Rules(verified_sample=verify_primary_position_alone),
    ),
    "serve_any_term": (
        replaced_database_is_longer,
        Rules(serves=lambda status, term: True),
    ),
    "min_position_of_any_term": (
        minority_of_five_is_longer,
        Rules(resolve_position=resolve_position_of_any_term),
    ),
    "age_by_arrival": (
        late_answers,
        Rules(sampled_after=lambda sample, now: now),
    ),
}


# Guards against a check that misses these broken decisions.
@pytest.mark.parametrize("variant", SCRIPTED_VARIANTS)
def test_scripted_run_catches_broken_variant(variant):
    script, variant_rules = SCRIPTED_VARIANTS[variant]
    names = "abcde" if script is minority_of_five_is_longer else "abc"
    run_scenario(script, Rules(), names)
    with pytest.raises(AssertionError):
        run_scenario(script, variant_rules, names)


SEARCHED_VARIANTS = {
    "promote_without_fence": Rules(make_promotion=WithoutFence),
    "lowest_candidate": Rules(make_promotion=LowestCandidate),
    "second_candidate": Rules(make_promotion=SecondCandidate),
    "unconditional_term_write": Rules(is_conditional=False),
    "term_counts_as_issued": Rules(has_issued=lambda row, term, promoter: True),
}


# Guards against random runs that miss these broken decisions.
@pytest.mark.parametrize("variant", SEARCHED_VARIANTS)
def test_random_runs_catch_broken_variant(variant):
    class BrokenMachine(GroupMachine):
        decisions = SEARCHED_VARIANTS[variant]

    with pytest.raises(AssertionError):
        run_state_machine_as_test(BrokenMachine, settings=SEARCH_SETTINGS)
