"""Drain orders that change while the progress of others is written."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.configuration import Configuration
from goldcrestpond.configuration.drain_order_spec import DrainOrderSpec
from goldcrestpond.drain.drain_keys import drain_progress_key
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.root.drain_reconciler import DrainReconciler

pytestmark = pytest.mark.anyio


class _SlowPlatform:
    """A platform whose writes wait until they are let through."""

    def __init__(self):
        self.rows = {}
        self.is_writing = anyio.Event()
        self.may_write = anyio.Event()

    async def put(self, key, body, revision):
        self.is_writing.set()
        await self.may_write.wait()
        self.rows[key] = body
        return len(self.rows)

    async def delete(self, key, revision):
        del self.rows[key]

    async def instances(self):
        return []


class _NoServices:
    def running_services(self):
        return {}

    def find_pool(self, group, database):
        return None


def _orders(*names):
    orders = {name: DrainOrderSpec("fuel", name, 5000) for name in names}
    return Configuration(drain_orders=orders)


@pytest.fixture
async def reconciler_and_platform():
    platform = _SlowPlatform()
    clock = SystemClock()
    events = EventRecorder("i1", clock, lambda line: None)
    reconciler = DrainReconciler("i1", _NoServices(), platform, clock, events)
    async with anyio.create_task_group() as tasks:
        reconciler.apply(_orders("a", "b"))
        tasks.start_soon(reconciler.run)
        with anyio.fail_after(5):
            await platform.is_writing.wait()
            yield reconciler, platform
        tasks.cancel_scope.cancel()


async def _wait_for_keys(platform, names):
    keys = {drain_progress_key(name, "i1") for name in names}
    while set(platform.rows) != keys:
        await anyio.sleep(0.01)


# Withdrawing one order while the progress of another was written ended the proxy:
# "dictionary changed size during iteration".
async def test_order_is_withdrawn_while_the_progress_of_another_is_written(
    reconciler_and_platform,
):
    reconciler, platform = reconciler_and_platform
    reconciler.apply(_orders("a"))
    platform.may_write.set()
    await _wait_for_keys(platform, "a")
    assert_that(platform.rows, HasLength(1))


# The row that was being written at that moment stayed in the table for good.
async def test_progress_of_an_order_withdrawn_meanwhile_is_deleted(
    reconciler_and_platform,
):
    reconciler, platform = reconciler_and_platform
    reconciler.apply(_orders("b"))
    platform.may_write.set()
    await _wait_for_keys(platform, "b")
    reconciler.apply(_orders())
    await _wait_for_keys(platform, "")
    assert_that(platform.rows, Equals({}))
