"""Tests of which removed databases may still hold acknowledged commits."""

import random
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.relay.holders import Holders
from goldcrestpond.serving.database_report import DatabaseReport
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.log_member_prover import LogMemberProver
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.registry import UNLISTED_GRACE
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from .test_leadership import database, ms

pytestmark = pytest.mark.anyio

RETENTION = timedelta(seconds=30)


class Group:
    """Databases of the service ``s`` as one instance sees them.

    ``received`` holds the position of each replica that answers its status.
    """

    def __init__(self, clock, tasks, names=("p", "a", "b")):
        self.clock = clock
        self.log = ListLog()
        self.received = {}
        supervised = SupervisedTasks(tasks)
        self.tasks = supervised
        self.directory = Directory(
            ServingSettings("i1", "z"),
            self.open_link,
            clock,
            random.Random(1),
            self.log,
            Metrics(),
            supervised,
            Holders("i1", clock, supervised, self.log),
        )
        for name in names:
            self.list(database(name, Role.PRIMARY if name == "p" else Role.REPLICA))
        self.service = self.directory.service("s")

    async def open_link(self, to, organisation=""):
        if to.database_id not in self.received:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, "cut")
        return _Link(self.received[to.database_id])

    def list(self, listed):
        self.directory.registry.put(listed, self.clock.now())
        self.directory.apply_registry()

    def remove(self, database_id):
        self.directory.registry.mark_unlisted(
            database_id, self.clock.now(), self.clock.now()
        )
        self.clock.advance(UNLISTED_GRACE)
        self.directory.remove_unlisted()

    def lead(self, database_id, term, number):
        """Prove a leader, at a position, some time after the last event."""
        self.clock.advance(ms(50))
        served = self.service.databases[database_id]
        position = LogPosition(term, number)
        self.service.record_leader_verified(served, position, self.clock.now())

    def answer(self, database_id, term, number):
        """Let a read show the position of a replica."""
        progress = self.service.databases[database_id].progress
        epoch = self.service.leadership.epoch
        progress.record_answer(LogPosition(term, number), epoch)

    def unlisted_ids(self):
        return [d.database_id for d in self.service.recently_unlisted()]


class _Link:
    def __init__(self, position):
        self._position = position

    async def report(self):
        return DatabaseReport(Role.REPLICA, 1, self._position, 0, 0)

    async def pause_replication(self, term):
        return DatabaseReport(Role.REPLICA, 1, self._position, term, 0)

    async def resume_replication(self):
        return await self.report()

    async def aclose(self):
        pass


@asynccontextmanager
async def open_group(clock):
    async with anyio.create_task_group() as tasks:
        yield Group(clock, tasks)
        tasks.cancel_scope.cancel()


# Failure: b was paused all the while; with a forgotten, b was promoted without the
# commits that only a and the leader had (review case 5).
async def test_removed_database_counts_until_all_replicas_have_what_it_had(clock):
    async with open_group(clock) as group:
        group.list(database("c"))
        group.lead("p", 1, 8)
        group.answer("c", 1, 8)
        group.answer("b", 1, 3)
        group.remove("a")
        clock.advance(RETENTION * 20)
        group.lead("p", 1, 9)
        group.answer("c", 1, 9)
        group.answer("b", 1, 8)
        assert_that(group.unlisted_ids(), Equals(["a"]))
        group.answer("b", 1, 9)
        assert_that(group.unlisted_ids(), Equals([]))
        forgotten = dict(group.log.lines)["database forgotten"]
        assert_that(forgotten["position"], Equals(LogPosition(1, 9)))


# Failure: the crashed leader is back under a new id and leads; its commits are on no
# listed replica yet, but the databases that had them were forgotten.
async def test_new_leader_does_not_forget_removed_databases(clock):
    async with open_group(clock) as group:
        group.lead("p", 1, 9)
        group.remove("a")
        group.remove("p")
        group.list(database("p2"))
        group.lead("p2", 1, 9)
        group.answer("b", 1, 3)
        assert_that(group.unlisted_ids(), Equals(["a", "p"]))
        clock.advance(RETENTION)
        group.lead("p2", 1, 9)
        assert_that(group.unlisted_ids(), Equals(["a", "p"]))
        group.answer("b", 1, 9)
        assert_that(group.unlisted_ids(), Equals([]))


# Failure: the entry lapsed while the database ran on and received more.
async def test_position_within_the_retention_proves_nothing(clock):
    async with open_group(clock) as group:
        group.lead("p", 1, 9)
        group.remove("a")
        clock.advance(RETENTION - ms(100))
        group.lead("p", 1, 9)
        group.answer("b", 1, 9)
        clock.advance(ms(200))
        assert_that(group.unlisted_ids(), Equals(["a"]))
        group.lead("p", 1, 12)
        assert_that(group.unlisted_ids(), Equals(["a"]))
        group.answer("b", 1, 12)
        assert_that(group.unlisted_ids(), Equals([]))


# Failure: positions of another leader's log, or none at all, are taken for a proof.
async def test_nothing_is_proved_without_replicas_or_across_leaders(clock):
    async with open_group(clock) as group:
        group.lead("p", 1, 9)
        group.remove("a")
        clock.advance(RETENTION)
        group.lead("p", 1, 9)
        group.answer("p", 1, 9)
        group.lead("b", 2, 5)
        group.answer("p", 1, 9)
        assert_that(group.unlisted_ids(), Equals(["a"]))
        group.remove("p")
        clock.advance(RETENTION)
        group.lead("b", 2, 7)
        assert_that(group.unlisted_ids(), Equals(["a", "p"]))


# Failure: a database that restarted under its id has lost its log, and stands for the
# one that was removed; or a database that is listed again counts as missing.
@pytest.mark.parametrize(("started_at_ms", "unlisted"), [(1, []), (2, ["a"])])
async def test_database_that_is_listed_again_counts_only_after_a_restart(
    clock, started_at_ms, unlisted
):
    async with open_group(clock) as group:
        group.list(replace(database("a"), started_at_ms=1))
        group.service.log_members.removed.clear()
        group.remove("a")
        group.list(replace(database("a"), started_at_ms=started_at_ms))
        assert_that(group.unlisted_ids(), Equals(unlisted))


_EVENTS = ["commit", "receive", "read", "sample"] * 3
_EVENTS += ["wait", "remove", "list", "fail over"]


class _Model(Group):
    """Logs of the databases; a commit is acknowledged once a replica has it."""

    def __init__(self, clock, tasks):
        super().__init__(clock, tasks)
        self.leader, self.term, self.count, self.acknowledged = "p", 1, 0, 0
        self.logs = dict.fromkeys(("p", "a", "b"), 0)
        self.lead("p", 1, 0)

    def replicas(self):
        return sorted(self.service.databases.keys() - {self.leader})

    def play(self, kind, number):
        replicas = self.replicas()
        name = replicas[number % len(replicas)] if replicas else ""
        match kind:
            case "commit":
                self.logs[self.leader] += 1
            case "receive" if name:
                self.logs[name] = self.logs[self.leader]
                self.acknowledged = max(self.acknowledged, self.logs[name])
            case "read" if name:
                self.answer(name, self.term, self.logs[name])
            case "sample":
                self.lead(self.leader, self.term, self.logs[self.leader])
            case "wait":
                self.clock.advance(RETENTION * number / 4)
            case "remove" if name:
                self.remove(name)
            case "list" if len(replicas) < 4:
                self.count += 1
                self.logs[f"n{self.count}"] = 0
                self.list(database(f"n{self.count}"))
            case "fail over" if name and self.logs[name] >= self.acknowledged:
                for other in self.logs:
                    self.logs[other] = min(self.logs[other], self.logs[name])
                self.leader, self.term = name, self.term + 1
                self.lead(name, self.term, self.logs[name])

    def is_covered(self):
        """Return whether a commit is missed if a listed replica takes over."""
        longest = max((self.logs[name] for name in self.replicas()), default=0)
        return bool(self.unlisted_ids()) or longest >= self.acknowledged


# Failure: a database is forgotten that alone has an acknowledged commit, in some order
# of commits, reads, samples, removals and changes of the leader.
@pytest.mark.parametrize("seed", range(0, 400, 100))
async def test_no_commit_is_only_on_a_forgotten_database(seed):
    async with anyio.create_task_group() as tasks:
        for rng in map(random.Random, range(seed, seed + 100)):
            model = _Model(ManualClock(), tasks)
            for _ in range(80):
                model.play(rng.choice(_EVENTS), rng.randrange(6))
                assert_that(model.is_covered(), Equals(True))
        tasks.cancel_scope.cancel()


async def _read_nothing(service):
    return True


# Failure: in a service without reads, a removed database is never forgotten, so that
# each later failover needs answers of all instances; or a paused replica is overlooked.
async def test_quiet_service_is_proved_by_asking_its_replicas(clock):
    async with open_group(clock) as group:
        prover = LogMemberProver(
            "i1",
            group.directory,
            group.open_link,
            clock,
            group.log,
            group.tasks,
            _read_nothing,
        )
        group.lead("p", 1, 9)
        group.remove("a")
        for number in (3, 9):
            clock.advance(RETENTION * 2)
            group.lead("p", 1, 9)
            group.received["b"] = LogPosition(1, number)
            prover.check(group.service)
            await anyio.wait_all_tasks_blocked()
            remaining = ["a"] if number < 9 else []
            assert_that(group.unlisted_ids(), Equals(remaining))
        assert_that(group.log.events(), Contains("database forgotten"))
        assert_that(group.service.log_members.received, HasLength(0))
