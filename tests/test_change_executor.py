"""Tests of changes whose attempts hang or overlap, or whose answers are lost."""

import random
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.api.change_executor import ChangeExecutor
from goldcrestpond.api.outcome_cleaner import OutcomeCleaner
from goldcrestpond.configuration.change_action import ChangeAction
from goldcrestpond.configuration.change_request import ChangeRequest
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.stored_outcome import OUTCOME_PREFIX
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.standin.table import Table
from goldcrestpond.store.condition import Condition
from goldcrestpond.store.row import Row
from goldcrestpond.store.write import Write

pytestmark = pytest.mark.anyio

_CREATE = ChangeRequest(ChangeAction.CREATE, Kind.READ_POLICY, "p", {"max_age_ms": 1})


class MemoryPlatform:
    """The platform's table in this process, with hooks for faults."""

    def __init__(self):
        self.table = Table()
        self.batches = []
        self.before_read = None

    async def read(self, key):
        row = self.table.read(key)
        if self.before_read is not None:
            await self.before_read()
        return None if row.value is None else Row(key, row.value, row.revision)

    async def changes(self, prefix, after_revision, limit):
        return self.table.changes(prefix, after_revision, limit)

    async def batch(self, conditions, writes):
        self.batches.append((conditions, writes))
        return self.table.batch(conditions, writes)


class LateBatchPlatform(MemoryPlatform):
    """Fails the first batch, which a test may apply later."""

    async def batch(self, conditions, writes):
        self.batches.append((conditions, writes))
        if len(self.batches) == 1:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE)
        return self.table.batch(conditions, writes)


class HangingPlatform(MemoryPlatform):
    """Applies the first batch and never answers it."""

    async def batch(self, conditions, writes):
        written = await super().batch(conditions, writes)
        if len(self.batches) == 1:
            await anyio.sleep_forever()
        return written


class UnresponsivePlatform(MemoryPlatform):
    """Never answers a read of changes."""

    async def changes(self, prefix, after_revision, limit):
        await anyio.sleep_forever()


def make_executor(platform, max_wait=timedelta(seconds=10)):
    return ChangeExecutor(platform, random.Random(1), lambda: None, list, max_wait)


def count_resources(platform):
    rows = platform.table.changes("configuration/resource/", 0, 99).rows
    return len(rows)


# Guards against: a change refused because of its own earlier attempt, which took
# effect between the lookup of the outcome and the check.
async def test_change_applied_between_lookup_and_check_is_not_refused():
    platform = LateBatchPlatform()
    executor = make_executor(platform)

    async def apply_first_batch():
        platform.before_read = None
        platform.table.batch(*platform.batches[0])
        await executor.refresh()

    platform.before_read = apply_first_batch
    outcome = await executor.execute(_CREATE)
    assert_that(outcome.resource.generation, Equals(1))
    assert_that(count_resources(platform), Equals(1))


async def test_second_attempt_finds_the_outcome_of_one_that_hangs():
    platform = HangingPlatform()
    outcome = await make_executor(platform).execute(_CREATE)
    assert_that(outcome.resource.resource_version, Equals(1))
    assert_that(count_resources(platform), Equals(1))


@pytest.mark.parametrize("key,word", [("", "nothing was changed"), ("k", "unknown")])
async def test_timeout_error_says_whether_the_change_may_have_taken_effect(key, word):
    executor = make_executor(UnresponsivePlatform(), timedelta(milliseconds=50))
    with pytest.raises(CodedError) as caught:
        await executor.execute(_CREATE, key)
    assert_that(caught.value.code, Equals(ResultCode.PLATFORM_UNAVAILABLE))
    assert_that(caught.value.detail, Contains(word))


async def test_outcomes_are_bounded_and_the_oldest_are_deleted_first():
    platform = MemoryPlatform()
    cleaner = OutcomeCleaner(platform, kept_count=3)
    for number in range(8):
        key = f"{OUTCOME_PREFIX}{number}"
        platform.table.batch([Condition(key, 0)], [Write(key, b"1")])
        await cleaner.clean()
    rows = platform.table.changes(OUTCOME_PREFIX, 0, 99).rows
    kept = [row.key[-1] for row in rows if row.value is not None]
    assert_that(kept, Equals(["5", "6", "7"]))
    assert_that(kept, HasLength(3))
