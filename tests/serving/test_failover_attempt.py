"""Tests that a failover loses no acknowledged commit.

At every step commits go on, databases fail or are cut off, and answers are lost.
"""

import random
from dataclasses import replace
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
    InstanceAnswer,
    combine_acknowledged,
)
from goldcrestpond.serving.log_members import LogMember
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import RowRevision
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.settings.address import Address

from ..line_world import ListLog

IDS = ["p", "a", "b", "c"]
INSTANCES = ["i1", "i2", "i3"]


class _PassingClock(ManualClock):
    """Advances each time it is read, so that waits with a time limit end."""

    def now(self):
        self.advance(timedelta(milliseconds=50))
        return super().now()


@pytest.fixture(autouse=True)
def _no_real_waits(monkeypatch):
    monkeypatch.setattr(failover_attempt, "CATCH_UP_POLL_S", 0)


class _Group:
    """A primary, its replicas, the instances that commit, and acknowledged commits.

    A commit is acknowledged to the instance that sent it as soon as one replica has
    received it. A replica receives the whole log up to an entry.
    """

    def __init__(self, rng, pauses_replicas=True, blocks_commits=True):
        self.rng = rng
        self.leader = "p"
        self.term = 1
        self.known_term = 0
        self.log = {i: 0 for i in IDS}
        self.paused = dict.fromkeys(IDS, 0)
        self.unreachable = set()
        self.crashed = set()
        self.not_receiving = set()
        self.unlisted = set()
        self.leaving = {}
        self.senders = {}
        self.acknowledged_by_instance = dict.fromkeys(INSTANCES, 0)
        self.unanswering_instances = set()
        self.busy_instances = set()
        self.blocked_instances = set()
        self.is_unblocked = False
        self.acknowledged = 0
        self.has_lost_commits = False
        self.asked = []
        self.pauses_replicas = pauses_replicas
        self.blocks_commits = blocks_commits

    def step(self):
        """Let the primary commit and replicate at random."""
        if self.leader in self.crashed:
            return
        senders = [i for i in INSTANCES if i not in self.blocked_instances]
        for _ in range(self.rng.randint(0, 2) if senders else 0):
            self.log[self.leader] += 1
            self.senders[self.log[self.leader]] = self.rng.choice(senders)
        for replica in IDS:
            if self._receives(replica) and self.rng.random() < 0.5:
                received = self.rng.randint(self.log[replica], self.log[self.leader])
                self.log[replica] = received
                self._acknowledge(received)

    def _receives(self, replica):
        is_stopped = (
            replica in self.crashed | self.not_receiving or self.paused[replica]
        )
        return replica != self.leader and not is_stopped

    def _acknowledge(self, received):
        for number in range(1, received + 1):
            sender = self.senders.pop(number, None)
            if sender is not None:
                self.acknowledged = max(self.acknowledged, number)
                self.acknowledged_by_instance[sender] = max(
                    self.acknowledged_by_instance[sender], number
                )

    def report(self, database_id):
        role = Role.PRIMARY if database_id == self.leader else Role.REPLICA
        term = self.known_term or self.term
        received = LogPosition(term, self.log[database_id])
        return DatabaseReport(role, term, received, self.paused[database_id], lag_ms=0)

    def promote(self, database_id):
        if database_id == self.leader:
            return
        self.has_lost_commits |= self.log[database_id] < self.acknowledged
        self.leader = database_id
        self.term += 1
        self.senders.clear()
        # Replicas that were ahead are rolled back.
        for other in IDS:
            self.log[other] = min(self.log[other], self.log[database_id])

    async def block_commits(self, block, max_wait):
        answers = []
        for name in INSTANCES:
            self.step()
            if name in self.unanswering_instances:
                answers.append(InstanceAnswer(name, None, has_answered=False))
                continue
            if self.blocks_commits:
                self.blocked_instances.add(name)
            for _ in range(2 if max_wait else 0):
                self.step()
            # The outcome of other commits in flight is reported as unknown.
            self.senders = {n: i for n, i in self.senders.items() if i != name}
            # Nothing was committed in a term that no database reports.
            term = self.known_term or self.term
            position = LogPosition(term, self.acknowledged_by_instance[name])
            number = self.acknowledged_by_instance[name]
            known = LogPosition(term, number) if number else None
            is_busy = name in self.busy_instances
            answers.append(InstanceAnswer(name, position, True, known, is_busy))
        return combine_acknowledged(answers)

    async def unblock_commits(self, service, token):
        self.is_unblocked = True
        self.blocked_instances.clear()


class _Link:
    def __init__(self, group, database_id):
        self._group = group
        self._id = database_id

    async def _answer(self):
        self._group.asked.append(self._id)
        self._group.step()
        if self._id in self._group.unreachable | self._group.crashed:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "cut")
        return self._group.report(self._id)

    async def report(self):
        return await self._answer()

    async def pause_replication(self, term):
        await self._answer()
        is_replica = self._id != self._group.leader
        if term > self._group.term and is_replica and self._group.pauses_replicas:
            self._group.paused[self._id] = term
        report = await self._answer()
        if not self._group.pauses_replicas:
            return DatabaseReport(report.role, report.term, report.received, term, 0)
        return report

    async def resume_replication(self):
        self._group.paused[self._id] = 0
        return await self._answer()

    async def aclose(self):
        pass


class _Failover:
    """Carries promotions out at once or later; the answer may be lost."""

    def __init__(self, group, outcome):
        self._group = group
        self._outcome = outcome
        self.promotions = []

    async def promote(self, service, database_id, token):
        self.promotions.append((database_id, token))
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


def _run_attempt(
    group,
    failover,
    is_planned,
    leaving=(),
    clock=None,
    leader_id="p",
    known_term=1,
    accepts_unproved=False,
    participants=None,
    list_databases=None,
):
    clock = clock or _PassingClock(timedelta(seconds=5))

    async def open_link(database):
        group.step()
        if database.database_id in group.unreachable | group.crashed:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, "cut")
        return _Link(group, database.database_id)

    participants = participants or _participants(group, leaving)
    attempt = FailoverAttempt(
        Claim("s", RowRevision(0, 7), timedelta(seconds=5)),
        list_databases or (lambda: participants.listed),
        participants,
        PreviousLeader(leader_id, known_term, is_planned),
        accepts_unproved,
        failover,
        group,
        open_link,
        clock,
        StoreEra(clock, ListLog(), Metrics()),
        ListLog(),
    )

    async def run_and_end():
        is_ordered = await attempt.run()
        if not is_ordered:
            await attempt.end("given up")
        return is_ordered

    return anyio.run(run_and_end)


_worlds = st.fixed_dictionaries(
    {
        "seed": st.integers(0, 2**16),
        "unreachable": st.sets(st.sampled_from(IDS)),
        "dead": st.sets(st.sampled_from(IDS), max_size=2),
        "not_receiving": st.sets(st.sampled_from(IDS)),
        "unlisted": st.sets(st.sampled_from(IDS), max_size=2),
        "leaving": st.sets(st.sampled_from(IDS), max_size=2),
        "silent": st.sampled_from([(), (), ("i1",), ("i1", "i2")]),
        "outcome": st.sampled_from(["done", "lost", "late", "refused"]),
        "is_planned": st.booleans(),
        "leader_id": st.sampled_from(["p", ""]),
        "led_by": st.sampled_from(["p", "p", "a"]),
    }
)


def _play(world, pauses_replicas=True, blocks_commits=True):
    rng = random.Random(world["seed"])
    group = _Group(rng, pauses_replicas, blocks_commits)
    for _ in range(world["seed"] % 4):
        group.step()
    if world["led_by"] != group.leader:
        # The instance that replaces the leader does not know of the current one.
        group.log[world["led_by"]] = group.log["p"]
        group.promote(world["led_by"])
        for _ in range(world["seed"] % 5):
            group.step()
    group.not_receiving = world["not_receiving"]
    for _ in range(world["seed"] % 3):
        group.step()
    group.unreachable = world["unreachable"]
    group.crashed = world["dead"]
    group.unlisted = world["unlisted"]
    group.unanswering_instances = set(world["silent"])
    failover = _Failover(group, world["outcome"])
    is_planned = world["is_planned"]
    leaving = set(world["leaving"]) | ({"p"} if is_planned else set())
    leader_id = "p" if is_planned else world["leader_id"]
    _run_attempt(group, failover, is_planned, leaving, leader_id=leader_id)
    return group, failover


@settings(
    max_examples=1500,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(_worlds)
def test_no_acknowledged_commit_is_lost_and_a_token_is_used_for_one_candidate(world):
    group, failover = _play(world)
    assert_that(group.has_lost_commits, Is(False))
    assert_that(len({candidate for candidate, _ in failover.promotions}) <= 1, Is(True))


def _ignores_unread(paused, unread, acknowledged, leaving_since):
    return choose_candidate(paused, frozenset(), acknowledged, leaving_since)


def _chooses_the_first(paused, unread, acknowledged, leaving_since):
    if unread or not paused:
        return CandidateChoice("", "unread")
    return CandidateChoice(min(paused), "first")


def _ignores_other_instances(paused, unread, acknowledged, leaving_since):
    """Assume that no instance has seen an acknowledged commit."""
    return choose_candidate(
        paused, unread, HighestAcknowledged(LogPosition(1, 0)), leaving_since
    )


def _loses_commits(
    pauses_replicas=True, is_planned=False, blocks_commits=True, has_silent=True
):
    for seed in range(600):
        world = {
            "seed": seed,
            "unreachable": set(),
            "dead": [{"p", "b"}, {"p"}, set()][seed % 3],
            "not_receiving": [set(), {"a"}, {"a", "b"}][seed % 5 % 3],
            "unlisted": [set(), {"c"}][seed % 2],
            "leaving": set(),
            "silent": ("i1",) if has_silent and seed % 7 % 2 else (),
            "outcome": "done",
            "is_planned": is_planned,
            "leader_id": "p",
            "led_by": "p",
        }
        if _play(world, pauses_replicas, blocks_commits)[0].has_lost_commits:
            return True
    return False


@pytest.mark.parametrize(
    "faulty", [_ignores_unread, _chooses_the_first, _ignores_other_instances]
)
def test_faulty_choices_lose_commits(monkeypatch, faulty):
    monkeypatch.setattr(failover_attempt, "choose_candidate", faulty)
    assert_that(_loses_commits(), Is(True))


def test_failover_without_paused_replicas_and_blocked_commits_loses_commits():
    assert_that(_loses_commits(pauses_replicas=False, blocks_commits=False), Is(True))


# Guards against: only one of the two defences is left.
def test_either_paused_replicas_or_blocked_commits_keep_acknowledged_commits():
    assert_that(_loses_commits(pauses_replicas=False, has_silent=False), Is(False))


def test_failover_that_ignores_unlisted_databases_loses_commits(monkeypatch):
    no_ids = frozenset()
    monkeypatch.setattr(FailoverAttempt, "_unlisted_ids", lambda attempt: no_ids)
    assert_that(_loses_commits(), Is(True))


def test_switchover_to_a_lagging_candidate_loses_commits(monkeypatch):
    """The leader leaves while its candidate receives nothing."""
    monkeypatch.setattr(failover_attempt, "has_caught_up", lambda report, needed: True)
    assert_that(_loses_commits(is_planned=True), Is(True))


def test_correct_failover_and_switchover_lose_no_commits():
    assert_that(_loses_commits(), Is(False))
    assert_that(_loses_commits(is_planned=True), Is(False))


def test_nothing_is_promoted_under_an_expired_claim():
    """The process that holds the claim was suspended until the claim had expired."""
    group = _Group(random.Random(1))
    group.crashed = {"p"}
    failover = _Failover(group, "done")
    clock = ManualClock(timedelta(seconds=5) + CLAIM_USE_LIMIT)
    assert_that(_run_attempt(group, failover, False, clock=clock), Is(False))
    assert_that(failover.promotions, Equals([]))


# Guards against: an attempt whose claim has expired resumes replicas, or unblocks
# commits, on which the promotion of the next claimant relies.
def test_nothing_is_undone_under_an_expired_claim():
    group = _Group(random.Random(1))
    group.crashed = {"p"}
    clock = ManualClock(timedelta(seconds=5) + CLAIM_USE_LIMIT)
    _run_attempt(group, _Failover(group, "done"), False, clock=clock)
    assert_that(group.paused["a"], Equals(2))
    assert_that(group.is_unblocked, Is(False))


def test_failover_that_is_given_up_resumes_replicas_and_unblocks_commits():
    group = _Group(random.Random(1))
    group.unreachable = {"b"}
    group.unanswering_instances = {"i2"}
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False), Is(False))
    assert_that(group.paused, Equals(dict.fromkeys(IDS, 0)))
    assert_that(group.is_unblocked, Is(True))


def _group_with_lagging_replicas(**changes):
    """Return a group whose leader and an unlisted replica crashed, and its failover.

    The remaining replicas received nothing for a while and lack the last commits.
    """
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 7, "b": 7, "c": 9}
    group.acknowledged = group.acknowledged_by_instance["i2"] = 9
    group.crashed = {"p", "c"}
    group.unlisted = {"c"}
    for name, value in changes.items():
        setattr(group, name, value)
    failover = _Failover(group, "done")
    return group, failover


def test_no_promotion_if_an_unlisted_database_may_have_the_last_commits():
    group, failover = _group_with_lagging_replicas()
    assert_that(_run_attempt(group, failover, False), Is(False))
    assert_that(failover.promotions, Equals([]))


def test_unlisted_database_that_still_runs_is_promoted():
    """It is cut off from the store only, and has commits that the others lack."""
    group, failover = _group_with_lagging_replicas(crashed={"p"})
    assert_that(_run_attempt(group, failover, False), Is(True))
    assert_that(failover.promotions[0][0], Equals("c"))
    assert_that(group.has_lost_commits, Is(False))


def test_failover_succeeds_when_leader_and_one_replica_crash_together():
    """Another replica has all commits that any instance saw acknowledged."""
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 9, "b": 8, "c": 9}
    group.acknowledged = group.acknowledged_by_instance["i1"] = 9
    group.crashed = {"p", "b"}
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False), Is(True))
    assert_that(group.has_lost_commits, Is(False))


# Where no instance that answers knows of a commit beyond it.
def test_longest_remaining_log_is_promoted_if_no_proof_is_asked_for():
    group, failover = _group_with_lagging_replicas(unanswering_instances={"i1", "i2"})
    assert_that(_run_attempt(group, failover, False, accepts_unproved=True), Is(True))
    assert_that(len(failover.promotions), Equals(1))


# Failure: a replica that has started again without its log counts as read, and a log
# shorter than the one it had is promoted, while an instance doesn't say what it knows.
@pytest.mark.parametrize("is_shown", [True, False])
def test_replica_that_reports_less_than_it_had_counts_as_unread(is_shown):
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 7, "b": 1, "c": 7}
    group.crashed, group.unanswering_instances = {"p"}, {"i1"}
    listed = _participants(group, ()).listed
    received = {"b": LogPosition(1, 9), "a": LogPosition(1, 6)} if is_shown else {}
    participants = Participants(listed, [], {}, received=received)
    failover = _Failover(group, "done")
    is_promoted = _run_attempt(group, failover, False, participants=participants)
    assert_that(is_promoted, Is(not is_shown))


# Failure: an empty replica that nobody has read before counts as read, and a log that
# lacks commits is promoted, while a busy instance doesn't say what it knows.
@pytest.mark.parametrize("silent", [set(), {"i1"}])
def test_empty_replica_counts_as_unread(silent):
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 9, "b": 0, "c": 7}
    group.acknowledged = group.acknowledged_by_instance["i2"] = 9
    group.crashed, group.unanswering_instances = {"p"}, silent
    is_promoted = _run_attempt(group, _Failover(group, "done"), False)
    assert_that(is_promoted, Is(not silent))


# Failure: a replica that starts again without its log while an attempt runs counts as
# read, since what was unread is known from the beginning of the attempt.
def test_replica_that_starts_again_during_an_attempt_counts_as_unread():
    group = _Group(random.Random(3))
    group.log = {"p": 9, "a": 7, "b": 1, "c": 7}
    group.crashed, group.unanswering_instances = {"p"}, {"i1"}
    listed = _participants(group, ()).listed
    restarted = [replace(d, started_at_ms=5 * (d.database_id == "b")) for d in listed]
    failover = _Failover(group, "done")
    is_promoted = _run_attempt(
        group,
        failover,
        False,
        participants=Participants(listed, [], {}),
        list_databases=lambda: restarted,
    )
    assert_that(is_promoted, Is(False))


# Failure: a log is promoted, however long the wait was, although an instance has told
# its callers of commits beyond it.
def test_log_that_is_known_to_lack_commits_is_never_promoted():
    group, failover = _group_with_lagging_replicas()
    _run_attempt(group, failover, False, accepts_unproved=True)
    assert_that(failover.promotions, Equals([]))


def test_no_switchover_if_the_leaving_leader_has_crashed():
    """An unlisted database may be the only one with the last commits."""
    group, failover = _group_with_lagging_replicas()
    assert_that(_run_attempt(group, failover, True, leaving={"p"}), Is(False))
    assert_that(failover.promotions, Equals([]))


def test_failed_leader_is_not_read():
    """Silent leader: reading it first would delay the failover, and callers wait."""
    group = _Group(random.Random(1))
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False), Is(True))
    assert_that("p" in group.asked, Is(False))
    assert_that(len(failover.promotions), Equals(1))


def test_replicas_are_paused_for_a_term_above_the_one_this_instance_knows():
    group = _Group(random.Random(1))
    group.crashed = {"p"}
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False, known_term=7), Is(True))
    assert_that([group.paused[i] for i in ("a", "b")], Equals([8, 8]))


# Failure: a switchover is ordered while an instance that does not answer may commit, as
# it had no time yet to read from the store that the leader is replaced; or while a
# commit is in flight, which the leader may run after its position was read.
@pytest.mark.parametrize(
    ("kind", "known_for_s", "is_promoted"),
    [
        ("unanswering_instances", 2, False),
        ("unanswering_instances", 3, True),
        ("busy_instances", 2, False),
        ("busy_instances", 4, True),
    ],
)
def test_switchover_waits_for_instances(kind, known_for_s, is_promoted):
    group = _Group(random.Random(1))
    setattr(group, kind, {"i2"})
    now = timedelta(seconds=5)
    listed = _participants(group, {"p"}).listed
    leaving_since = {"p": now - timedelta(seconds=known_for_s)}
    failover = _Failover(group, "done")
    done = _run_attempt(
        group,
        failover,
        True,
        clock=_PassingClock(now),
        participants=Participants(listed, [], leaving_since),
    )
    assert_that((done, group.is_unblocked), Equals((is_promoted, not is_promoted)))


def test_no_second_switchover_from_the_same_leader():
    """Another database leads already; the previous leader may be its replica."""
    group = _Group(random.Random(1))
    group.promote("a")
    group.unlisted = {"p", "b"}
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, True, leaving={"p"}), Is(False))
    assert_that(failover.promotions, Equals([]))


def test_replicas_are_paused_above_a_term_that_no_database_reports():
    """The last leader failed right after its promotion, before any replica knew."""
    group = _Group(random.Random(1))
    group.crashed = {"p"}
    group.known_term, group.term = 1, 3
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False), Is(True))
    assert_that([group.paused[i] for i in ("a", "b")], Equals([4, 4]))


def test_log_of_an_outdated_leader_counts():
    """Another database leads already; the presumed leader may have its commits."""
    group = _Group(random.Random(1))
    group.promote("a")
    group.crashed = {"p"}
    failover = _Failover(group, "done")
    assert_that(_run_attempt(group, failover, False), Is(False))
    assert_that(failover.promotions, Equals([]))


# Failure: a database that is known by id and start time only is overlooked, or a link
# to it is tried; or one that is listed again under its id is taken for another one.
@pytest.mark.parametrize(
    ("member", "is_promoted"),
    [
        (LogMember("c", 0), False),
        (LogMember("b", 4), False),
        (LogMember("b", 0), True),
        (LogMember("p", 0), True),
    ],
)
def test_database_without_an_address_counts_as_unread(member, is_promoted):
    # What is acknowledged is not known, and all read replicas have it.
    group, failover = _group_with_lagging_replicas(unanswering_instances={"i1"})
    group.unlisted = set()
    group.acknowledged = group.acknowledged_by_instance["i2"] = 7
    listed = [d for d in _participants(group, ()).listed if d.database_id != "c"]
    participants = Participants(listed, [], {}, frozenset({member}))
    done = _run_attempt(group, failover, False, participants=participants)
    assert_that(done, Is(is_promoted))
    assert_that("c" in group.asked, Is(False))
