"""Proxies that share the connections of endpoints, over real sockets."""

from contextlib import suppress

import anyio
import asyncpg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from .site import connect_with_asyncpg, run_fuel_site

pytestmark = pytest.mark.anyio

LIMIT = 14


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=2, connection_limit=LIMIT) as running:
        # The endpoint takes more, so that it can be seen whether the proxies
        # keep to the limit of their own accord.
        for database in running.group.databases:
            database.settings.connection_limit = 1000
        yield running


async def _hold(site, proxy, count, seconds):
    """Hold transactions open on a proxy; count those that began in time."""
    begun = 0

    async def hold():
        nonlocal begun
        caller = await connect_with_asyncpg(site, proxy)
        with anyio.move_on_after(seconds):
            while not caller.is_in_transaction():
                with suppress(asyncpg.PostgresError):  # a true "not run"
                    await caller.execute("BEGIN")
            await caller.execute("SELECT 1")
            begun += 1
            await anyio.sleep_forever()
        caller.terminate()

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(hold)
    return begun


def _check_limit(site):
    most = max(database.max_open_connections for database in site.group.databases)
    assert_that(most <= LIMIT, Equals(True))


async def test_share_follows_the_demand_and_the_sum_keeps_to_the_limit(site):
    first = await _hold(site, 0, 12, 3)
    second = await _hold(site, 1, 12, 3)
    _check_limit(site)
    # The other proxy keeps its floor, and one connection waits for probes.
    assert_that(first >= LIMIT // 2, Equals(True))
    assert_that(second >= LIMIT // 2, Equals(True))


async def test_both_hot_at_once_keep_to_the_limit(site):
    counts = []

    async def hold(proxy):
        counts.append(await _hold(site, proxy, 12, 3))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hold, 0)
        tasks.start_soon(hold, 1)
    _check_limit(site)
    # Transactions that are open cannot be moved; the floor remains to each.
    assert_that(min(counts) >= 1, Equals(True))


async def test_shares_last_while_the_table_is_out(site):
    await _hold(site, 0, 4, 1)
    site.platform.faults.down = True
    assert_that(await _hold(site, 0, 4, 1) >= 2, Equals(True))
    assert_that(await _hold(site, 1, 4, 1) >= 1, Equals(True))
    _check_limit(site)
