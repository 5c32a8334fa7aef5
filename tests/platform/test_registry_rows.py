"""From when a drain counts, by the age of the table that told of it."""

import random

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.platform import database_entry
from goldcrestpond.platform.store_tables import RegistryRowHandler
from goldcrestpond.relay.holders import Holders
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.registry import UNKNOWN_DRAIN_AGE
from goldcrestpond.serving.row_store import StoredRow
from goldcrestpond.serving.service import DRAIN_FRACTION
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from ..serving.test_leadership import ms

DRAIN_LIMIT = ms(7000)
LEADER = "i-1"


async def _no_link(database):
    raise AssertionError("this test opens no connections")


class _Reader:
    """An instance's copy of the registry, read at times of a clock that is set.

    Attributes
    ----------
    clock : ManualClock
        Its clock; it goes on while the process is frozen.
    copy : TableCopy
        Its copy of the table.
    registry : Registry
        What it knows of the databases.
    service : Service
        The service of the database.
    """

    def __init__(self, tasks):
        log = ListLog()
        self.clock = ManualClock(ms(60_000))
        supervised = SupervisedTasks(tasks)
        directory = Directory(
            ServingSettings("own", "z1", drain_limit=DRAIN_LIMIT),
            _no_link,
            self.clock,
            random.Random(1),
            log,
            Metrics(),
            supervised,
            Holders("own", self.clock, supervised, log),
        )
        handler = RegistryRowHandler(
            directory,
            StoreEra(self.clock, log, Metrics()),
            self.clock,
            log,
            lambda: self.copy.confirmed_at,
        )
        self.copy = TableCopy(
            database_entry.TABLE,
            handler.replace,
            handler.update,
            is_same=database_entry.is_heartbeat,
        )
        self.registry = directory.registry
        self.service = directory.service("s")

    def read(self, version, *rows, is_whole=False, took_ms=0):
        """Apply an answer that names a version; return when it was asked for."""
        asked_at = self.clock.now()
        self.clock.advance(ms(took_ms))
        apply = self.copy.replace if is_whole else self.copy.update
        assert_that(apply(rows, 1, version), Is(True))
        self.copy.confirm(asked_at)
        return asked_at

    def prove_leader(self):
        served = self.service.databases[LEADER]
        self.service.record_leader_verified(served, LogPosition(1, 1), self.clock.now())


def _row(version, state, sequence=0):
    body = {
        "serviceName": "s",
        "address": "127.0.0.1:1",
        "state": state,
        "dbRole": "primary",
        "sequence": sequence,
    }
    value = msgspec.json.encode(body)
    return StoredRow(database_entry.TABLE, "", LEADER, value, version)


def _removed(version):
    return StoredRow(database_entry.TABLE, "", LEADER, None, version)


@pytest.fixture
def run_with_reader():
    """Run a test's body with a reader that knows the leader as ready, at version 1."""

    def run(body):
        async def run_body():
            async with anyio.create_task_group() as tasks:
                reader = _Reader(tasks)
                reader.read(1, _row(1, "ready"), is_whole=True)
                reader.prove_leader()
                body(reader)
                tasks.cancel_scope.cancel()

        anyio.run(run_body)

    return run


# Callers' statements reached a leaving leader after the platform's bound, sent by an
# instance that had been frozen when the leader began to leave.
@pytest.mark.parametrize("is_whole", [False, True])
def test_frozen_instance_gives_a_leaving_leader_no_work_after_its_time(
    run_with_reader, is_whole
):
    def body(reader):
        reader.clock.advance(ms(500))
        complete_at = reader.read(2)
        reader.clock.advance(ms(3300))
        reader.read(3, _row(3, "draining"), is_whole=is_whole)
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))
        work_ends_at = complete_at + DRAIN_LIMIT * DRAIN_FRACTION
        reader.clock.advance(work_ends_at - reader.clock.now())
        assert_that(reader.service.leader(), Not(Is(None)))
        reader.clock.advance(ms(1))
        assert_that(reader.service.leader(), Is(None))

    run_with_reader(body)


# The same, by an instance whose call of the store was answered seconds late.
def test_slow_answer_makes_a_drain_no_younger(run_with_reader):
    def body(reader):
        complete_at = reader.read(2)
        reader.clock.advance(ms(100))
        reader.read(3, _row(3, "draining"), took_ms=4000)
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))
        reader.read(4, _row(4, "draining", sequence=2))
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))

    run_with_reader(body)


# The same, by an instance that follows one whose table was old.
def test_drain_counts_from_the_age_of_the_table_that_is_followed(run_with_reader):
    def body(reader):
        complete_at = reader.copy.confirmed_at
        for version in (2, 3):
            reader.clock.advance(ms(900))
            reader.copy.update([], 1, version)
            reader.copy.confirm(complete_at)  # the source has had no answer since
        reader.copy.update([_row(4, "draining")], 1, 4)
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))

    run_with_reader(body)


# The same, by an instance that missed the beginning of a drain since the entry had
# lapsed by the time at which it read the table.
def test_drain_that_may_have_begun_before_the_entry_lapsed_counts_from_there(
    run_with_reader,
):
    def body(reader):
        complete_at = reader.read(2)
        reader.clock.advance(ms(1200))
        reader.read(5, _removed(5))
        reader.clock.advance(ms(800))
        reader.read(6)
        reader.read(7, _row(7, "draining"))
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))

    run_with_reader(body)


# Guards against: a leader that begins to leave is given up at once, though it was known
# a moment ago that it doesn't leave.
def test_drain_learnt_at_once_counts_from_the_call_before(run_with_reader):
    def body(reader):
        reader.clock.advance(ms(10_000))
        complete_at = reader.read(2)
        reader.clock.advance(ms(20))
        reader.read(3, _row(3, "draining"))
        assert_that(reader.registry.leaving_since(LEADER), Equals(complete_at))
        assert_that(reader.service.leader(), Not(Is(None)))

    run_with_reader(body)


# Guards against: an instance that starts takes a drain for younger than it may be.
def test_drain_in_the_first_list_is_of_unknown_age():
    async def body():
        async with anyio.create_task_group() as tasks:
            reader = _Reader(tasks)
            now = reader.read(1, _row(1, "draining"), is_whole=True)
            since = reader.registry.leaving_since(LEADER)
            assert_that(since, Equals(now - UNKNOWN_DRAIN_AGE))
            tasks.cancel_scope.cancel()

    anyio.run(body)
