"""Failovers of a database group over real sockets: no confirmed commit is lost."""

import random
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.configuration.database_spec import DatabaseSpec
from goldcrestpond.endpoint.group_monitor import GroupMonitor
from goldcrestpond.endpoint.login import Login
from goldcrestpond.endpoint.open_connection import open_connection
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.frames import kinds
from goldcrestpond.frames.build import query_frame
from goldcrestpond.frames.read import read_parameter
from goldcrestpond.group.log_position import parse_log_position
from goldcrestpond.group.role import Role
from goldcrestpond.settings.address import Address
from goldcrestpond.standin.database_group import run_database_group
from goldcrestpond.standin.database_group_settings import (
    DatabaseGroupSettings,
    StandinDatabase,
)
from goldcrestpond.standin.platform_standin import run_platform
from goldcrestpond.store.http_platform import HttpPlatform

from .primary_loss import wait_until_lost

CLOCK = SystemClock()
LOGIN = Login("proxy", "depot")
SETTINGS = DatabaseGroupSettings(
    databases=[StandinDatabase(name) for name in "abc"],
    schema=["CREATE TABLE log (entry INTEGER)"],
)


class Site:
    """A group of stand-in databases, a platform, and monitors of the group."""

    def __init__(self, group, platform, tasks):
        self.group = group
        self.platform = platform
        self.tasks = tasks
        self.entry_count = 0

    async def start_monitor(self, instance, connect=open_connection):
        spec = DatabaseGroupSpec(
            databases=[
                DatabaseSpec(server.name, str(server.address))
                for server in self.group.databases
            ],
            user="proxy",
        )
        platform = HttpPlatform(self.platform.address, timedelta(milliseconds=300))
        recorder = EventRecorder(instance, CLOCK, lambda line: None)
        rng = random.Random(instance)
        monitor = GroupMonitor(
            "depot", spec, platform, connect, CLOCK, rng, recorder, instance
        )
        scope = anyio.CancelScope()
        self.tasks.start_soon(self._run, monitor, platform, scope)
        return monitor, scope

    async def _run(self, monitor, platform, scope):
        with scope:
            async with platform:
                await monitor.run()

    async def write_to(self, address):
        """Write one entry to a database; return the entry and its position."""
        self.entry_count += 1
        entry = self.entry_count
        connection = await open_connection(address, LOGIN)
        try:
            await connection.send(query_frame(f"INSERT INTO log VALUES ({entry})"))
            return entry, await read_commit(connection)
        finally:
            await connection.aclose()

    async def write(self, monitor):
        """Write to the monitor's primary until one entry is confirmed; return it."""
        while True:
            primary = await monitor.wait_primary(deadline_in(5000))
            try:
                with anyio.fail_after(0.3):
                    entry, position = await self.write_to(primary.address)
                    await monitor.confirm(position, deadline_in(300))
            except (CodedError, TimeoutError):
                await anyio.sleep(0.01)
                continue
            return entry

    async def read_entries(self, address):
        connection = await open_connection(address, LOGIN)
        try:
            rows = (await connection.query("SELECT entry FROM log")).rows
        finally:
            await connection.aclose()
        return [int(value) for (value,) in rows]

    async def wait_until_issued(self, instance):
        """Wait until the next term has been issued to an instance."""
        platform = HttpPlatform(self.platform.address)
        async with platform:
            while True:
                row = await platform.read("terms/depot")
                if row is not None and f'"{instance}/'.encode() in row.value:
                    return
                await anyio.sleep(0.02)


async def read_commit(connection):
    """Return the log position that the answer to a write reports."""
    position = None
    while True:
        for frame in await connection.receive_frames():
            if frame.kind == kinds.ERROR:
                connection.is_broken = True
                raise CodedError(ResultCode.ENDPOINT_REFUSED)
            if frame.kind == kinds.PARAMETER_STATUS:
                position = parse_log_position(read_parameter(frame).value)
            if frame.kind == kinds.READY_FOR_QUERY:
                return position


def deadline_in(milliseconds):
    return CLOCK.now() + timedelta(milliseconds=milliseconds)


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.01)


@asynccontextmanager
async def running_site():
    async with run_platform(Address("127.0.0.1", 0), CLOCK) as platform:
        async with run_database_group(SETTINGS, CLOCK) as group:
            async with anyio.create_task_group() as tasks:
                with anyio.fail_after(20):
                    yield Site(group, platform, tasks)
                tasks.cancel_scope.cancel()


# Guards against confirmed or served writes of a primary that is cut off from its
# replicas but still accepts writes: it is replaced, and its unconfirmed entries are
# discarded once it follows the new primary.
def test_unconfirmed_writes_of_a_cut_off_primary_are_not_served():
    async def main():
        async with running_site() as site:
            monitor, _ = await site.start_monitor("p1")
            confirmed = [await site.write(monitor)]
            old_primary = site.group.primary()
            site.group.partition(old_primary.name, peers=True)
            early_entry, early_position = await site.write_to(old_primary.address)
            with pytest.raises(CodedError) as raised:
                await monitor.confirm(early_position, deadline_in(5000))
            assert_that(raised.value.code, Is(ResultCode.TERM_SUPERSEDED))
            late_entry, late_position = await site.write_to(old_primary.address)
            confirmed.append(await site.write(monitor))
            with pytest.raises(CodedError):
                await monitor.confirm(late_position, deadline_in(100))
            choice = monitor.choose_replica(None, timedelta(seconds=5))
            assert_that(choice is None or choice.database != old_primary.name, Is(True))
            site.group.partition(old_primary.name, peers=False)
            await wait_until(lambda: old_primary.database.role is Role.REPLICA)
            await wait_until(lambda: len(old_primary.database.log) == 3)
            entries = await site.read_entries(old_primary.address)
            assert_that(
                [e for e in entries if e in (early_entry, late_entry)], Equals([])
            )
            assert_that([e for e in confirmed if e in entries], Equals(confirmed))

    anyio.run(main)


@pytest.mark.parametrize("step", ["group_fence", "group_promote", "group_follow"])
@pytest.mark.parametrize("is_applied", [False, True])
def test_another_instance_promotes_if_the_promoter_stops_at_any_step(step, is_applied):
    async def main():
        async with running_site() as site:
            stopped = anyio.Event()

            async def connect_and_stop(address, login):
                connection = await open_connection(address, login)
                return StoppingConnection(connection, step, is_applied, stopped)

            first, scope = await site.start_monitor("p1", connect_and_stop)
            first_entry = await site.write(first)
            await site.wait_until_issued("p1")
            second, _ = await site.start_monitor("p2")
            await second.wait_primary(deadline_in(5000))
            site.group.kill(site.group.primary().name)
            await stopped.wait()
            scope.cancel()
            last_entry = await site.write(second)
            primary = second.primary
            entries = await site.read_entries(primary.address)
            assert_that(primary.term, GreaterThan(1))
            assert_that(entries, Contains(first_entry))
            assert_that(entries, Contains(last_entry))

    anyio.run(main)


class StoppingConnection:
    """A connection that stops at a statement, before or after it takes effect.

    Once ``stopped`` is set, no statement is sent: the instance has stopped.
    """

    def __init__(self, connection, step, is_applied, stopped):
        self.connection = connection
        self.step = step
        self.is_applied = is_applied
        self.stopped = stopped
        self.is_broken = False

    async def query(self, sql):
        if self.stopped.is_set() or self.step in sql:
            if self.is_applied and not self.stopped.is_set():
                await self.connection.query(sql)
            self.stopped.set()
            await anyio.sleep_forever()
        return await self.connection.query(sql)

    async def aclose(self):
        await self.connection.aclose()


def test_failover_completes_although_an_answer_of_the_platform_is_lost():
    async def main():
        async with running_site() as site:
            monitor, _ = await site.start_monitor("p1")
            await monitor.wait_primary(deadline_in(5000))
            site.platform.faults.lose_next_answers = 1
            site.group.kill(site.group.primary().name)
            await site.write(monitor)

    anyio.run(main)


def test_failover_during_a_platform_outage_uses_the_term_issued_before():
    async def main():
        async with running_site() as site:
            monitor, _ = await site.start_monitor("p1")
            entry = await site.write(monitor)
            await site.wait_until_issued("p1")
            site.platform.faults.down = True
            await site.write(monitor)
            site.group.kill(site.group.primary().name)
            await site.write(monitor)
            entries = await site.read_entries(monitor.primary.address)
            assert_that(entries, Contains(entry))

    anyio.run(main)


def test_no_failover_during_a_platform_outage_without_an_issued_term():
    async def main():
        async with running_site() as site:
            site.platform.faults.down = True
            monitor, _ = await site.start_monitor("p1")
            await site.write(monitor)
            site.group.kill(site.group.primary().name)
            await wait_until_lost(monitor)
            with pytest.raises(CodedError) as raised:
                await monitor.wait_primary(deadline_in(700))
            assert_that(raised.value.code, Is(ResultCode.NO_PRIMARY))
            terms = [server.database.term for server in site.group.databases]
            assert_that(terms, Equals([1, 1, 1]))
            site.platform.faults.down = False
            await site.write(monitor)

    anyio.run(main)
