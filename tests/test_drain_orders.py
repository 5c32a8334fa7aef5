"""Tests of drain orders over real sockets: switchover, running work, progress."""

import random

import anyio
import httpx
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.configuration.drain_order_spec import DrainOrderSpec
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.root.api import serve_api
from goldcrestpond.settings.address import Address
from goldcrestpond.store.http_platform import HttpPlatform
from goldcrestpond.store.instance_entry import InstanceEntry

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

ORDER = resource_key(Kind.DRAIN_ORDER, "leave")


@pytest.fixture
async def site():
    async with run_fuel_site() as running:
        yield running


@pytest.fixture
async def platform(site):
    async with HttpPlatform(site.platform.address) as client:
        yield client


async def _order(platform, database, deadline_ms=5000):
    spec = DrainOrderSpec("fuel", database.name, deadline_ms)
    return await platform.put(ORDER, encode_resource_row(spec, 1), 0)


def _pools(site, database):
    return [p.services.find_pool("fuel", database.name) for p in site.proxies]


async def _wait_until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.02)


def _replica(site):
    primary = site.group.primary()
    return next(each for each in site.group.databases if each is not primary)


async def _begin_read_on(site, database, proxy=0):
    """Return a caller with an open read-only transaction on a replica."""
    pool = site.proxies[proxy].services.find_pool("fuel", database.name)
    options = "-c goldcrestpond.max_age_ms=60000"
    while True:
        caller = await connect_with_psycopg(site, options=options, autocommit=False)
        await caller.set_read_only(True)
        await caller.execute("SELECT 1")
        if pool.running_count:
            return caller
        await caller.close()


async def test_drained_primary_is_replaced_and_gets_no_more_work(site, platform):
    primary = site.group.primary()
    monitor = site.proxies[0].services.find("fuel").monitor
    async with await connect_with_psycopg(site) as caller:
        await _order(platform, primary)
        await _wait_until(
            lambda: monitor.primary and monitor.primary.database != primary.name
        )
        await _wait_until(lambda: all(p.is_draining for p in _pools(site, primary)))
        await caller.execute(
            "INSERT INTO fuel_log (id, bus, litres) VALUES (1, 'a', 1)"
        )
    await _wait_until(lambda: sum(p.open_count for p in _pools(site, primary)) == 0)


async def test_transaction_on_a_draining_replica_ends_normally(site, platform):
    database = _replica(site)
    caller = await _begin_read_on(site, database)
    await _order(platform, database)
    await _wait_until(lambda: all(p.is_draining for p in _pools(site, database)))
    cursor = await caller.execute("SELECT 2, pg_sleep(0.2)")
    assert_that(int((await cursor.fetchone())[0]), Equals(2))
    await caller.commit()
    await _wait_until(lambda: sum(p.open_count for p in _pools(site, database)) == 0)
    await caller.close()


async def test_transaction_is_aborted_at_the_deadline_of_a_drain_order(site, platform):
    database = _replica(site)
    caller = await _begin_read_on(site, database)
    await _order(platform, database, deadline_ms=300)
    await _wait_until(lambda: sum(p.running_count for p in _pools(site, database)) == 0)
    with pytest.raises(psycopg.OperationalError):
        await caller.execute("SELECT 2")


async def test_database_accepts_work_again_after_its_drain_order_is_deleted(
    site, platform
):
    database = site.group.databases[-1]
    revision = await _order(platform, database)
    await _wait_until(lambda: all(p.is_draining for p in _pools(site, database)))
    await platform.delete(ORDER, revision)
    await _wait_until(lambda: not any(p.is_draining for p in _pools(site, database)))


async def test_endpoint_listed_as_leaving_gets_no_work(site):
    database = site.group.databases[-1]
    entry = InstanceEntry("endpoint", str(database.address), state="leaving")
    site.platform.set_instances([entry])
    await _wait_until(lambda: all(p.is_draining for p in _pools(site, database)))
    async with await connect_with_psycopg(site) as caller:
        await caller.execute("SELECT 1")


async def test_status_reports_progress_and_end_of_a_drain(site, platform):
    source = site.proxies[0].configuration
    database = site.group.databases[-1]
    async with serve_api(
        Address("127.0.0.1", 0), platform, source, lambda: [], [], random.Random(1)
    ) as address:
        await _order(platform, database)
        url = f"http://{address}/v1/{Kind.DRAIN_ORDER}/leave"
        condition = {}
        async with httpx.AsyncClient() as client:
            with anyio.fail_after(10):
                while condition.get("reason") != "of 2 instances 2 done":
                    await anyio.sleep(0.1)
                    answer = await client.get(url)
                    if answer.status_code != 200:
                        continue
                    conditions = answer.json()["status"]["conditions"]
                    named = {each["type"]: each for each in conditions}
                    condition = named.get("Drained", {})
    assert_that(condition["status"], Equals("True"))
