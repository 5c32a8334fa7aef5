"""Tests of proxies that share a connection limit, over real sockets."""

from contextlib import suppress

import anyio
import asyncpg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from .site import connect_with_asyncpg, run_fuel_site

pytestmark = pytest.mark.anyio

CONNECTION_LIMIT = 14


@pytest.fixture
async def site():
    async with run_fuel_site(
        proxy_count=2, connection_limit=CONNECTION_LIMIT
    ) as running_site:
        # The databases accept more connections than the limit, so that the tests
        # show whether the proxies themselves stay within it.
        for database in running_site.group.databases:
            database.settings.connection_limit = 1000
        yield running_site


async def _hold_transactions(site, proxy, count, seconds):
    """Hold transactions open for a time; return how many began on a proxy."""
    started_count = 0

    async def hold():
        nonlocal started_count
        caller = await connect_with_asyncpg(site, proxy)
        with anyio.move_on_after(seconds):
            while not caller.is_in_transaction():
                with suppress(asyncpg.PostgresError):  # it did not run, so repeat it
                    await caller.execute("BEGIN")
            await caller.execute("SELECT 1")
            started_count += 1
            await anyio.sleep_forever()
        caller.terminate()

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(hold)
    return started_count


def _assert_within_limit(site):
    peak = max(database.max_open_connections for database in site.group.databases)
    assert_that(peak <= CONNECTION_LIMIT, Equals(True))


async def test_share_follows_demand_and_the_sum_stays_within_the_limit(site):
    first = await _hold_transactions(site, 0, 12, 3)
    second = await _hold_transactions(site, 1, 12, 3)
    _assert_within_limit(site)
    # The other proxy keeps its minimum share, and one connection is kept for probes.
    assert_that(first >= CONNECTION_LIMIT // 2, Equals(True))
    assert_that(second >= CONNECTION_LIMIT // 2, Equals(True))


async def test_concurrent_demand_of_both_proxies_stays_within_the_limit(site):
    counts = []

    async def hold(proxy):
        counts.append(await _hold_transactions(site, proxy, 12, 3))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hold, 0)
        tasks.start_soon(hold, 1)
    _assert_within_limit(site)
    # Open transactions cannot be moved; each proxy keeps its minimum share.
    assert_that(min(counts) >= 1, Equals(True))


async def test_shares_remain_usable_while_the_platform_is_unavailable(site):
    await _hold_transactions(site, 0, 4, 1)
    site.platform.faults.down = True
    assert_that(await _hold_transactions(site, 0, 4, 1) >= 2, Equals(True))
    assert_that(await _hold_transactions(site, 1, 4, 1) >= 1, Equals(True))
    _assert_within_limit(site)
