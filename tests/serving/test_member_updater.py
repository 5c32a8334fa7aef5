"""Tests that an instance becomes a member after it has read the other members."""

import random

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.member_updater import MemberUpdater
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import FeedAnswer
from goldcrestpond.serving.store_era import StoreEra

from ..line_world import ListLog
from .fake_rows import FakeRows, FakeRowStore


class _Store:
    """Fails the first ``failures`` reads, then has no rows."""

    def __init__(self, failures):
        self.failures = failures
        self.written = anyio.Event()

    async def read(self, table):
        if self.failures:
            self.failures -= 1
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "away")
        return FeedAnswer([], 1, 0.0)

    async def write(self, conditions, puts, removals=()):
        self.written.set()


class _Directory:
    def __init__(self):
        self.members = []

    def set_members(self, members):
        self.members.append([member.name for member in members])


def test_members_are_read_again_until_the_store_answers():
    """Start while the store is unreachable: all instances of the fleet wait for it."""
    store, directory = _Store(3), _Directory()

    async def body():
        updater = MemberUpdater(
            Member("i1", "z", None),
            store,
            StoreEra(ManualClock(), ListLog(), Metrics()),
            directory,
            ManualClock(),
            random.Random(1),
            ListLog(),
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(updater.run)
                await store.written.wait()
                tasks.cancel_scope.cancel()

    anyio.run(body)
    assert_that(store.failures, Equals(0))
    assert_that(directory.members, Equals([["i1"]]))


def test_row_is_rewritten_if_the_store_is_restored_right_after_the_start():
    """The store loses the row in the first seconds, before the regular heartbeats."""

    async def body():
        clock, rows = ManualClock(), FakeRows()
        era = StoreEra(clock, ListLog(), Metrics())
        updater = MemberUpdater(
            Member("i1", "z", None),
            FakeRowStore(rows, era),
            era,
            _Directory(),
            clock,
            random.Random(1),
            ListLog(),
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(updater.run)
                while not rows.table("member"):
                    await anyio.sleep(0)
                rows.restore_copy()
                assert_that(rows.table("member"), Equals([]))
                while not rows.table("member"):
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()

    anyio.run(body)
