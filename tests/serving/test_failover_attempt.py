"""A succession under commits, cuts and lost answers at every step loses nothing."""

import random
from datetime import timedelta

import anyio
import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, given, settings
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.serving import failover_attempt
from goldcrestpond.serving.choose_candidate import CandidateChoice, choose_candidate
from goldcrestpond.serving.database import Database
from goldcrestpond.serving.database_report import DatabaseReport
from goldcrestpond.serving.failover import PromotionRefused
from goldcrestpond.serving.failover_attempt import (
    FailoverAttempt,
    Participants,
    PreviousLeader,
)
from goldcrestpond.serving.failover_claim import CLAIM_USE_LIMIT, Claim
from goldcrestpond.serving.highest_acknowledged import (
    HighestAcknowledged,
    combine_acknowledged,
)
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import RowRevision
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.settings.address import Address

from ..line_world import ListLog

IDS = ["p", "a", "b", "c"]
INSTANCES = ["i1", "i2", "i3"]


class _PassingClock(ManualClock):
    """Moves on with each reading, so that whoever waits for a time sees its end."""

    def now(self):
        self.advance(timedelta(milliseconds=50))
        return super().now()


@pytest.fixture(autouse=True)
def _no_real_waits(monkeypatch):
    monkeypatch.setattr(failover_attempt, "CATCH_UP_POLL_S", 0)


class _Group:
    """A primary, its replicas, the instances that commit, and what was acknowledged.

    A commit is acknowledged as soon as one replica has received it, to the instance
    that sent it; a replica receives the whole log up to an entry.
    """

    def __init__(self, rng, pauses_work=True):
        self.rng = rng
        self.leader = "p"
        self.term = 1
        self.known_term = 0
        self.log = {i: 0 for i in IDS}
        self.paused = dict.fromkeys(IDS, 0)
        self.unreachable = set()
        self.dead = set()
        self.deaf = set()
        self.unlisted = set()
        self.leaving = {}
        self.senders = {}
        self.ledgers = dict.fromkeys(INSTANCES, 0)
        self.silent = set()
        self.sealed = set()
        self.released = False
        self.acknowledged = 0
        self.lost = False
        self.asked = []
        self.pauses_work = pauses_work

    def step(self):
        """Let the primary commit and replicate, or not."""
        if self.leader in self.dead:
            return
        senders = [i for i in INSTANCES if i not in self.sealed]
        for _ in range(self.rng.randint(0, 2) if senders else 0):
            self.log[self.leader] += 1
            self.senders[self.log[self.leader]] = self.rng.choice(senders)
        for replica in IDS:
            if self._receives(replica) and self.rng.random() < 0.5:
                received = self.rng.randint(self.log[replica], self.log[self.leader])
                self.log[replica] = received
                self._acknowledge(received)

    def _receives(self, replica):
        is_off = replica in self.dead | self.deaf or self.paused[replica]
        return replica != self.leader and not is_off

    def _acknowledge(self, received):
        for number in range(1, received + 1):
            sender = self.senders.pop(number, None)
            if sender is not None:
                self.acknowledged = max(self.acknowledged, number)
                self.ledgers[sender] = max(self.ledgers[sender], number)

    def report(self, database_id):
        role = Role.PRIMARY if database_id == self.leader else Role.REPLICA
        term = self.known_term or self.term
        received = LogPosition(term, self.log[database_id])
        return DatabaseReport(role, term, received, self.paused[database_id], lag_ms=0)

    def promote(self, database_id):
        if database_id == self.leader:
            return
        self.lost |= self.log[database_id] < self.acknowledged
        self.leader = database_id
        self.term += 1
        self.senders.clear()
        # Replicas that were ahead are rolled back.
        for other in IDS:
            self.log[other] = min(self.log[other], self.log[database_id])

    async def block_commits(self, service, former):
        answers = []
        for name in INSTANCES:
            self.step()
            if name in self.silent:
                answers.append((name, None))
                continue
            self.sealed.add(name)
            # What is still under way is told its caller as unknown.
            self.senders = {n: i for n, i in self.senders.items() if i != name}
            answers.append((name, LogPosition(self.term, self.ledgers[name])))
        return combine_acknowledged(answers)

    async def unblock_commits(self, service):
        self.released = True
        self.sealed.clear()


class _Link:
    def __init__(self, group, database_id):
        self._group = group
        self._id = database_id

    async def _answer(self):
        self._group.asked.append(self._id)
        self._group.step()
        if self._id in self._group.unreachable | self._group.dead:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "cut")
        return self._group.report(self._id)

    async def report(self):
        return await self._answer()

    async def pause(self, term):
        await self._answer()
        is_replica = self._id != self._group.leader
        if term > self._group.term and is_replica and self._group.pauses_work:
            self._group.paused[self._id] = term
        report = await self._answer()
        if not self._group.pauses_work:
            return DatabaseReport(report.role, report.term, report.received, term, 0)
        return report

    async def resume(self):
        self._group.paused[self._id] = 0
        return await self._answer()

    async def aclose(self):
        pass


class _Failover:
    """Carries orders out at once or later; the answer may be lost."""

    def __init__(self, group, outcome):
        self._group = group
        self._outcome = outcome
        self.orders = []

    async def promote(self, service, database_id, token):
        self.orders.append((database_id, token))
        self._group.step()
        if self._outcome == "refused":
            raise PromotionRefused("superseded")
        for _ in range(3 if self._outcome == "late" else 0):
            self._group.step()
        self._group.promote(database_id)
        if self._outcome in ("lost", "late"):
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")


def _database(database_id, leaving):
    address = Address("127.0.0.1", 1)
    role = Role.PRIMARY if database_id == "p" else Role.REPLICA
    is_draining = database_id in leaving
    return Database(database_id, "s", address, "z", 5, is_draining, role, 0, 0)


def _participants(group, leaving):
    listed = [_database(i, leaving) for i in IDS if i not in group.unlisted]
    unlisted = [_database(i, ()) for i in sorted(group.unlisted)]
    return Participants(listed, unlisted, dict.fromkeys(leaving, timedelta(0)))


def _succeed(
    group,
    failover,
    is_planned,
    leaving=(),
    clock=None,
    leader_id="p",
    known_term=1,
    accepts_commit_loss=False,
):
    clock = clock or _PassingClock(timedelta(seconds=5))

    async def open_link(database):
        group.step()
        if database.database_id in group.unreachable | group.dead:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, "cut")
        return _Link(group, database.database_id)

    run = FailoverAttempt(
        Claim("s", RowRevision(0, 7), timedelta(seconds=5)),
        _participants(group, leaving),
        PreviousLeader(leader_id, known_term, is_planned),
        accepts_commit_loss,
        failover,
        group,
        open_link,
        clock,
        StoreEra(clock, ListLog(), Metrics()),
        ListLog(),
    )
    return anyio.run(run.run)


_worlds = st.fixed_dictionaries(
    {
        "seed": st.integers(0, 2**16),
        "unreachable": st.sets(st.sampled_from(IDS)),
        "dead": st.sets(st.sampled_from(IDS), max_size=2),
        "deaf": st.sets(st.sampled_from(IDS)),
        "departed": st.sets(st.sampled_from(IDS), max_size=2),
        "leaving": st.sets(st.sampled_from(IDS), max_size=2),
        "silent": st.sampled_from([(), (), ("i1",), ("i1", "i2")]),
        "outcome": st.sampled_from(["done", "lost", "late", "refused"]),
        "is_planned": st.booleans(),
        "leader_id": st.sampled_from(["p", ""]),
        "led_by": st.sampled_from(["p", "p", "a"]),
    }
)


def _play(world, pauses_work=True):
    group = _Group(random.Random(world["seed"]), pauses_work)
    for _ in range(world["seed"] % 4):
        group.step()
    if world["led_by"] != group.leader:
        # Whoever replaces the leader has not heard of the one that leads now.
        group.log[world["led_by"]] = group.log["p"]
        group.promote(world["led_by"])
        for _ in range(world["seed"] % 5):
            group.step()
    group.deaf = world["deaf"]
    for _ in range(world["seed"] % 3):
        group.step()
    group.unreachable = world["unreachable"]
    group.dead = world["dead"]
    group.unlisted = world["departed"]
    group.silent = set(world["silent"])
    failover = _Failover(group, world["outcome"])
    is_planned = world["is_planned"]
    leaving = set(world["leaving"]) | ({"p"} if is_planned else set())
    leader_id = "p" if is_planned else world["leader_id"]
    _succeed(group, failover, is_planned, leaving, leader_id=leader_id)
    return group, failover


@settings(
    max_examples=1500,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(_worlds)
def test_no_acknowledged_commit_is_lost_and_one_token_names_one_candidate(world):
    group, failover = _play(world)
    assert_that(group.lost, Is(False))
    assert_that(len({candidate for candidate, _ in failover.orders}) <= 1, Is(True))


def _ignores_unread(paused, unread, bound, leaving_since):
    return choose_candidate(paused, frozenset(), bound, leaving_since)


def _takes_the_first(paused, unread, bound, leaving_since):
    if unread or not paused:
        return CandidateChoice("", "unread")
    return CandidateChoice(min(paused), "first")


def _asks_nobody(paused, unread, bound, leaving_since):
    """Take what one instance knows for what all know."""
    return choose_candidate(
        paused, unread, HighestAcknowledged(LogPosition(1, 0)), leaving_since
    )


def _is_caught(pauses_work=True, is_planned=False):
    for seed in range(600):
        world = {
            "seed": seed,
            "unreachable": set(),
            "dead": [{"p", "b"}, {"p"}, set()][seed % 3],
            "deaf": [set(), {"a"}, {"a", "b"}][seed % 5 % 3],
            "departed": [set(), {"c"}][seed % 2],
            "leaving": set(),
            "silent": (),
            "outcome": "done",
            "is_planned": is_planned,
            "leader_id": "p",
            "led_by": "p",
        }
        if _play(world, pauses_work)[0].lost:
            return True
    return False


@pytest.mark.parametrize("broken", [_ignores_unread, _takes_the_first, _asks_nobody])
def test_broken_choices_are_caught(monkeypatch, broken):
    monkeypatch.setattr(failover_attempt, "choose_candidate", broken)
    assert_that(_is_caught(), Is(True))


def test_succession_without_a_pause_is_caught():
    assert_that(_is_caught(pauses_work=False), Is(True))


def test_forgetting_databases_that_left_is_caught(monkeypatch):
    nobody = frozenset()
    monkeypatch.setattr(FailoverAttempt, "_unlisted_ids", lambda run: nobody)
    assert_that(_is_caught(), Is(True))


def test_switch_to_one_that_has_not_caught_up_is_caught(monkeypatch):
    """The leader leaves while its candidate receives nothing."""
    monkeypatch.setattr(failover_attempt, "has_caught_up", lambda report, needed: True)
    assert_that(_is_caught(is_planned=True), Is(True))


def test_the_right_one_is_not_caught():
    assert_that(_is_caught(), Is(False))
    assert_that(_is_caught(is_planned=True), Is(False))


def test_claim_that_has_grown_old_orders_nothing():
    """A holder that was suspended finds its claim too old."""
    group = _Group(random.Random(1))
    group.dead = {"p"}
    failover = _Failover(group, "done")
    clock = ManualClock(timedelta(seconds=5) + CLAIM_USE_LIMIT)
    assert_that(_succeed(group, failover, False, clock=clock), Is(False))
    assert_that(failover.orders, Equals([]))
    assert_that(group.paused["a"], Equals(0))


def test_succession_that_is_given_up_lets_replicas_receive_again():
    group = _Group(random.Random(1))
    group.unreachable = {"b"}
    group.silent = {"i2"}
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False), Is(False))
    assert_that(group.paused, Equals(dict.fromkeys(IDS, 0)))
    assert_that(group.released, Is(True))


def _replaced_over_deaf_replicas(**changes):
    """Two databases left while those that stay received nothing; the leader crashed."""
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 7, "b": 7, "c": 9}
    group.acknowledged = group.ledgers["i2"] = 9
    group.dead = {"p", "c"}
    group.unlisted = {"c"}
    for name, value in changes.items():
        setattr(group, name, value)
    failover = _Failover(group, "done")
    return group, failover


def test_database_that_left_with_the_last_commits_is_not_forgotten():
    group, failover = _replaced_over_deaf_replicas()
    assert_that(_succeed(group, failover, False), Is(False))
    assert_that(failover.orders, Equals([]))


def test_database_that_is_no_longer_listed_but_runs_is_promoted():
    """Cut from the store alone, it still has what the others lack."""
    group, failover = _replaced_over_deaf_replicas(dead={"p"})
    assert_that(_succeed(group, failover, False), Is(True))
    assert_that(failover.orders[0][0], Equals("c"))
    assert_that(group.lost, Is(False))


def test_leader_and_a_replica_that_crash_together_are_replaced_at_once():
    """The other replica has all that any instance saw acknowledged."""
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 9, "b": 8, "c": 9}
    group.acknowledged = group.ledgers["i1"] = 9
    group.dead = {"p", "b"}
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False), Is(True))
    assert_that(group.lost, Is(False))


def test_longest_log_that_is_left_leads_once_patience_is_over():
    group, failover = _replaced_over_deaf_replicas()
    assert_that(_succeed(group, failover, False, accepts_commit_loss=True), Is(True))
    assert_that(len(failover.orders), Equals(1))


def test_leaving_leader_that_crashed_is_not_switched_from():
    """Its entry lapsed: its last commits may lie on one that has left."""
    group, failover = _replaced_over_deaf_replicas()
    assert_that(_succeed(group, failover, True, leaving={"p"}), Is(False))
    assert_that(failover.orders, Equals([]))


def test_dead_leader_is_not_waited_for():
    """Silent leader: callers wait for its successor, so it is not asked first."""
    group = _Group(random.Random(1))
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False), Is(True))
    assert_that("p" in group.asked, Is(False))
    assert_that(len(failover.orders), Equals(1))


def test_term_that_only_this_instance_knows_is_passed():
    group = _Group(random.Random(1))
    group.dead = {"p"}
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False, known_term=7), Is(True))
    assert_that([group.paused[i] for i in ("a", "b")], Equals([8, 8]))


def test_leader_that_has_been_switched_from_is_not_switched_from_again():
    """Another one leads already; the former may be one of its replicas."""
    group = _Group(random.Random(1))
    group.promote("a")
    group.unlisted = {"p", "b"}
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, True, leaving={"p"}), Is(False))
    assert_that(failover.orders, Equals([]))


def test_term_that_nobody_knows_is_passed():
    """The last leader ended right after its promotion, which no replica heard of."""
    group = _Group(random.Random(1))
    group.dead = {"p"}
    group.known_term, group.term = 1, 3
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False), Is(True))
    assert_that([group.paused[i] for i in ("a", "b")], Equals([4, 4]))


def test_stale_leader_is_one_of_the_logs_that_count():
    """Another one leads already: the presumed leader may hold its commits."""
    group = _Group(random.Random(1))
    group.promote("a")
    group.dead = {"p"}
    failover = _Failover(group, "done")
    assert_that(_succeed(group, failover, False), Is(False))
    assert_that(failover.orders, Equals([]))
