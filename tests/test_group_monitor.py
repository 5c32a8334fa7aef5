"""The monitor of a group over connections to an in-memory group."""

import random
from datetime import timedelta

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.endpoint import group_monitor_reconciler
from goldcrestpond.endpoint.group_monitor import GroupMonitor
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.store.instance_entry import InstanceEntry
from goldcrestpond.store.row import Row
from goldcrestpond.term.replaced_primary import ReplacedPrimary
from goldcrestpond.term.term_record import TermRecord
from goldcrestpond.term.term_start import TermStart

from .fake_connections import FakeEndpoints
from .fake_group import Refused, make_group
from .fake_platform import FakePlatform
from .primary_loss import wait_until_lost


@pytest.fixture
def databases():
    return make_group()


@pytest.fixture
def endpoints(databases):
    return FakeEndpoints(databases)


@pytest.fixture
def platform():
    return FakePlatform()


@pytest.fixture
def make_monitor(endpoints, platform):
    clock = SystemClock()
    spec = msgspec.convert(
        {"databases": endpoints.specs(), "user": "proxy"}, DatabaseGroupSpec
    )

    def make(instance):
        recorder = EventRecorder(instance, clock, lambda line: None)
        rng = random.Random(instance)
        connect = endpoints.open_connection
        return GroupMonitor(
            "depot", spec, platform, connect, clock, rng, recorder, instance
        )

    return make


@pytest.fixture
def monitor(make_monitor):
    return make_monitor("p1")


def deadline_in(milliseconds=3000):
    return SystemClock().now() + timedelta(milliseconds=milliseconds)


def run_with(monitor, scenario, *other_monitors):
    """Run a scenario while one or several monitors run."""

    async def main():
        async with anyio.create_task_group() as tasks:
            for each in (monitor, *other_monitors):
                await tasks.start(each.run)
            with anyio.fail_after(20):
                await scenario()
            tasks.cancel_scope.cancel()

    anyio.run(main)


def code_of(raised):
    return raised.value.code


def test_commit_is_confirmed_once_a_replica_holds_it(monitor, databases):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        position = LogPosition(*databases["a"].write("x"))
        with pytest.raises(CodedError) as raised:
            await monitor.confirm(position, deadline_in(50))
        assert_that(code_of(raised), Is(ResultCode.OUTCOME_UNKNOWN))
        databases["c"].receive(1)
        await monitor.confirm(position, deadline_in())

    run_with(monitor, scenario)


def test_few_polls_confirm_all_waiting_commits(monitor, databases, endpoints):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        positions = [LogPosition(*databases["a"].write(i)) for i in range(200)]
        async with anyio.create_task_group() as tasks:
            for position in positions:
                tasks.start_soon(monitor.confirm, position, deadline_in())
            await anyio.sleep(0.02)
            endpoints.statements.clear()
            databases["b"].receive(200)
        assert_that(len(endpoints.statements) < 20, Is(True))

    run_with(monitor, scenario)


def test_min_position_is_sampled_after_the_call(monitor, databases):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        position = LogPosition(*databases["a"].write("x"))
        assert_that(await monitor.sample_min_position(deadline_in()), Equals(position))

    run_with(monitor, scenario)


def test_min_position_is_sampled_only_with_a_majority(monitor, endpoints):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        endpoints.silent.update("bc")
        with pytest.raises(CodedError) as raised:
            await monitor.sample_min_position(deadline_in(100))
        assert_that(code_of(raised), Is(ResultCode.NO_PRIMARY))

    run_with(monitor, scenario)


def test_replica_serves_reads_once_it_has_replayed_the_min_position(monitor, databases):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        min_position = LogPosition(*databases["a"].write("x"))
        for name in "bc":
            databases[name].receive(1)
        await monitor.confirm(min_position, deadline_in())
        assert_that(monitor.choose_replica(min_position, None), Is(None))
        databases["b"].replay(1)
        choice = None
        while choice is None:
            choice = await monitor.wait_replica(min_position, None, deadline_in())
            await anyio.sleep(0.01)
        assert_that(choice.database, Equals("b"))
        assert_that(monitor.choose_replica(None, timedelta(seconds=5)), Not(Is(None)))

    run_with(monitor, scenario)


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.005)


async def write_confirmed(monitor, endpoints, entry):
    """Write to the monitor's primary until one commit is confirmed."""
    databases = endpoints.databases
    while True:
        primary = await monitor.wait_primary(deadline_in())
        database = databases[primary.database]
        try:
            await endpoints.apply_faults(database)
            position = LogPosition(*database.write(entry))
            for other in databases.values():
                other.receive(1)
            await monitor.confirm(position, deadline_in(100))
        except (Refused, CodedError):
            await anyio.sleep(0.01)
            continue
        return position


def test_several_monitors_replace_a_failed_primary_once(
    make_monitor, databases, endpoints
):
    monitors = [make_monitor(name) for name in ("p1", "p2", "p3")]

    async def scenario():
        first = await write_confirmed(monitors[0], endpoints, "x")
        await anyio.sleep(1.2)
        endpoints.refusing.add("a")
        for each in monitors:
            last = await write_confirmed(each, endpoints, "y")
            assert_that(last.term > first.term, Is(True))
        primaries = [d for d in databases.values() if d.role is Role.PRIMARY]
        assert_that([d.name for d in primaries], Equals(["a", "b"]))
        endpoints.refusing.clear()
        await wait_until(lambda: databases["a"].upstream is databases["b"])
        assert_that(
            databases["a"].log, Equals(databases["b"].log[: len(databases["a"].log)])
        )

    run_with(monitors[0], scenario, *monitors[1:])


def test_one_slow_poll_does_not_replace_the_primary(monitor, databases, endpoints):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.silent.add("a")
        await anyio.sleep(0.3)
        endpoints.silent.clear()
        await anyio.sleep(0.5)
        assert_that([d.term for d in databases.values()], Equals([1, 1, 1]))

    run_with(monitor, scenario)


def test_primary_at_its_connection_limit_is_not_replaced(monitor, databases, endpoints):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.full.add("a")
        await anyio.sleep(1)
        assert_that([d.term for d in databases.values()], Equals([1, 1, 1]))

    run_with(monitor, scenario)


# Guards against a failover by an instance that alone is cut off from the primary: the
# replicas still receive entries from it.
def test_primary_that_replicas_still_reach_is_not_replaced(
    monitor, databases, endpoints
):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.silent.add("a")
        for number in range(15):
            databases["a"].write(number)
            for name in "bc":
                databases[name].receive(1)
            await anyio.sleep(0.1)
        assert_that([d.term for d in databases.values()], Equals([1, 1, 1]))

    run_with(monitor, scenario)


def test_sessions_that_stopped_waiting_cause_no_polls(monitor, endpoints):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        endpoints.silent.update("bc")
        with pytest.raises(CodedError):
            await monitor.sample_min_position(deadline_in(100))
        await anyio.sleep(0.4)
        endpoints.statements.clear()
        await anyio.sleep(0.5)
        assert_that(len(endpoints.statements) < 10, Is(True))

    run_with(monitor, scenario)


def test_silent_primary_is_replaced(monitor, databases, endpoints):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.silent.add("a")
        await wait_until(lambda: databases["b"].role is Role.PRIMARY)
        await write_confirmed(monitor, endpoints, "y")

    run_with(monitor, scenario)


def test_replaced_primary_is_reported_once(monitor, databases, endpoints):
    replaced = []
    monitor.on_replaced = replaced.append

    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.refusing.add("a")
        last = await write_confirmed(monitor, endpoints, "y")
        assert_that(replaced, Equals([ReplacedPrimary("a", last.term, False)]))

    run_with(monitor, scenario)


def test_drained_primary_is_switched_over_to_an_undrained_database(
    monitor, databases, endpoints
):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        monitor.set_draining(["a", "b"])
        await wait_until(lambda: databases["c"].role is Role.PRIMARY)
        last = await write_confirmed(monitor, endpoints, "y")
        assert_that(last, Equals(LogPosition(databases["c"].term, 2)))

    run_with(monitor, scenario)


def test_failover_during_a_platform_outage_uses_the_term_issued_before(
    monitor, databases, endpoints, platform
):
    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        await wait_until(lambda: b'"issued_to":"p1/' in record_value(platform))
        platform.is_down = True
        endpoints.refusing.add("a")
        await write_confirmed(monitor, endpoints, "y")

    run_with(monitor, scenario)


def test_no_failover_during_a_platform_outage_without_an_issued_term(
    monitor, databases, endpoints, platform
):
    platform.is_down = True

    async def scenario():
        await write_confirmed(monitor, endpoints, "x")
        endpoints.refusing.add("a")
        await wait_until_lost(monitor)
        with pytest.raises(CodedError) as raised:
            await monitor.wait_primary(deadline_in(1500))
        assert_that(code_of(raised), Is(ResultCode.NO_PRIMARY))
        assert_that([d.term for d in databases.values()], Equals([1, 1, 1]))

    run_with(monitor, scenario)


def test_term_is_used_although_the_platforms_answers_were_lost(
    monitor, databases, endpoints, platform
):
    async def scenario():
        await monitor.wait_primary(deadline_in())
        platform.answers_to_lose = 3
        endpoints.refusing.add("a")
        await write_confirmed(monitor, endpoints, "y")

    run_with(monitor, scenario)


def record_value(platform):
    row = platform.rows.get("terms/depot")
    return row.value if row else b""


def test_next_term_issued_to_a_stopped_instance_is_issued_anew(
    monitor, platform, monkeypatch
):
    monkeypatch.setattr(
        group_monitor_reconciler, "REVIEW_INTERVAL", timedelta(milliseconds=200)
    )
    record = TermRecord(2, "gone/1", "a", (TermStart(1, 0),))
    platform.rows["terms/depot"] = Row("terms/depot", msgspec.json.encode(record), 1)
    platform.revision = 1
    platform.live = [InstanceEntry("gone", "127.0.0.1:1")]

    async def scenario():
        await monitor.wait_primary(deadline_in())
        await anyio.sleep(0.5)
        assert_that(b'"issued_to":"gone/1"' in record_value(platform), Is(True))
        platform.live = [InstanceEntry("p1", "127.0.0.1:1")]
        await wait_until(lambda: b'"issued_to":"p1/' in record_value(platform))
        assert_that(b'"issued_term":3' in record_value(platform), Is(True))

    run_with(monitor, scenario)
