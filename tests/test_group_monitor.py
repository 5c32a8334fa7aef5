"""The monitor of a group over connections to a group in memory."""

import random
from datetime import timedelta

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.endpoint.group_monitor import GroupMonitor
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.group.log_position import LogPosition

from .fake_connections import FakeEndpoints
from .fake_group import make_group


@pytest.fixture
def databases():
    return make_group()


@pytest.fixture
def endpoints(databases):
    return FakeEndpoints(databases)


@pytest.fixture
def monitor(endpoints):
    clock = SystemClock()
    spec = msgspec.convert(
        {"databases": endpoints.specs(), "user": "proxy"}, DatabaseGroupSpec
    )
    return GroupMonitor(
        "depot",
        spec,
        None,
        endpoints.open_connection,
        clock,
        random.Random(1),
        EventRecorder("p1", clock, lambda line: None),
        "p1",
    )


def soon(milliseconds=3000):
    return SystemClock().now() + timedelta(milliseconds=milliseconds)


def run_with(monitor, act):
    async def main():
        async with anyio.create_task_group() as tasks:
            await tasks.start(monitor.run)
            with anyio.fail_after(20):
                await act()
            tasks.cancel_scope.cancel()

    anyio.run(main)


def code_of(caught):
    return caught.value.code


def test_commit_waits_for_a_replica(monitor, databases):
    async def act():
        await monitor.wait_primary(soon())
        position = LogPosition(*databases["a"].write("x"))
        with pytest.raises(CodedError) as caught:
            await monitor.confirm(position, soon(50))
        assert_that(code_of(caught), Is(ResultCode.OUTCOME_UNKNOWN))
        databases["c"].receive(1)
        await monitor.confirm(position, soon())

    run_with(monitor, act)


def test_one_poll_serves_all_commits_that_wait(monitor, databases, endpoints):
    async def act():
        await monitor.wait_primary(soon())
        positions = [LogPosition(*databases["a"].write(i)) for i in range(200)]
        async with anyio.create_task_group() as tasks:
            for position in positions:
                tasks.start_soon(monitor.confirm, position, soon())
            await anyio.sleep(0.02)
            endpoints.statements.clear()
            databases["b"].receive(200)
        assert_that(len(endpoints.statements) < 20, Is(True))

    run_with(monitor, act)


def test_floor_is_sampled_after_the_call(monitor, databases):
    async def act():
        await monitor.wait_primary(soon())
        position = LogPosition(*databases["a"].write("x"))
        assert_that(await monitor.sample_floor(soon()), Equals(position))

    run_with(monitor, act)


def test_floor_needs_a_majority(monitor, endpoints):
    async def act():
        await monitor.wait_primary(soon())
        endpoints.silent.update("bc")
        with pytest.raises(CodedError) as caught:
            await monitor.sample_floor(soon(100))
        assert_that(code_of(caught), Is(ResultCode.NO_PRIMARY))

    run_with(monitor, act)


def test_replica_serves_once_it_has_replayed_the_floor(monitor, databases):
    async def act():
        await monitor.wait_primary(soon())
        floor = LogPosition(*databases["a"].write("x"))
        for name in "bc":
            databases[name].receive(1)
        await monitor.confirm(floor, soon())
        assert_that(monitor.choose_replica(floor, None), Is(None))
        databases["b"].replay(1)
        choice = None
        while choice is None:
            choice = await monitor.wait_replica(floor, None, soon())
            await anyio.sleep(0.01)
        assert_that(choice.database, Equals("b"))
        assert_that(monitor.choose_replica(None, timedelta(seconds=5)), Not(Is(None)))

    run_with(monitor, act)
