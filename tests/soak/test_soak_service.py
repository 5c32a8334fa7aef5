"""A service of a soak: what its databases write to the registry."""

import base64
import itertools
import random
from datetime import timedelta

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.soak import soak_service
from goldcrestpond.soak.soak_service import SoakService
from goldcrestpond.standin.line_platform import LinePlatform

from ..line_world import ListLog

HEARTBEAT = timedelta(milliseconds=60)


@pytest.fixture
def platform(monkeypatch):
    monkeypatch.setattr(soak_service, "HEARTBEAT", HEARTBEAT)
    monkeypatch.setattr(soak_service, "ENTRY_LIFETIME", 3 * HEARTBEAT)
    monkeypatch.setattr(soak_service, "_POLL_INTERVAL_S", 0.01)
    return LinePlatform()


def run_service(platform, body):
    """Run ``body`` with a started service of the databases d1 to d3."""

    async def run():
        ids = (f"d{number}" for number in itertools.count(1))
        service = SoakService(
            "s",
            "",
            ids,
            platform,
            (0, 0),
            (0, 0),
            random.Random(1),
            SystemClock(),
            ListLog(),
        )
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                await service.start(tasks)
                await body(service)
                tasks.cancel_scope.cancel()

    anyio.run(run)


def read_entry(platform, database_id):
    value, _ = platform.rows["servers", "", database_id]
    return None if value is None else msgspec.json.decode(base64.b64decode(value))


# Guards against: a registry in which a crashed database leaves at once or keeps its id,
# so that no instance ever knows a database by two ids.
def test_old_entry_stays_for_three_heartbeats_beside_the_new_one(platform):
    async def body(service):
        former = read_entry(platform, "d1")
        await anyio.sleep(0.005)
        await service.crash(service.running_primary())
        assert_that(service.running_primary(), Is(None))
        await service.restart(service.group.databases["d1"])
        returned = read_entry(platform, "d4")
        assert_that(read_entry(platform, "d1"), Equals(former))
        assert_that(returned["dbRole"], Equals("primary"))
        assert_that(returned["born"], GreaterThan(former["born"]))
        assert_that(returned["address"] != former["address"], Is(True))
        while read_entry(platform, "d1") is not None:
            await anyio.sleep(0.01)
        assert_that(read_entry(platform, "d4")["sequence"], GreaterThan(2))

    run_service(platform, body)


# Guards against: a lost replica whose log still counts as one that has a commit.
def test_primary_that_ended_for_good_goes_with_its_successor(platform):
    async def body(service):
        primary = service.running_primary()
        await service.stop(primary)
        service.remove(primary)
        assert_that(service.group.find_primary(), Is(primary))
        service.promote("d2")
        assert_that(sorted(service.group.databases), Equals(["d2", "d3"]))
        assert_that(read_entry(platform, "d1"), Is(None))

    run_service(platform, body)
