"""Sessions that end early leave no statement running and no transaction open."""

import anyio
import asyncpg
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.configuration.route_spec import RouteSpec

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, 'x', 1)"


async def wait_until_no_statement_runs(site):
    with anyio.fail_after(10):
        while any(
            connection.is_active
            for server in site.group.databases
            for connection in server.connections.values()
        ):
            await anyio.sleep(0.02)


async def test_transaction_that_is_idle_too_long_is_rolled_back():
    async with run_fuel_site(proxy_count=1, idle_transaction_timeout_ms=300) as site:
        async with (
            await connect_with_psycopg(site) as caller,
            await connect_with_psycopg(site, autocommit=False) as idle_caller,
        ):
            await idle_caller.execute(INSERT, (1,))
            with anyio.fail_after(10):
                while site.proxies[0].callers.caller_count > 1:
                    await anyio.sleep(0.05)
            with pytest.raises(psycopg.Error) as caught:
                await idle_caller.execute(INSERT, (2,))
            assert_that(str(caught.value), Contains("GP114"))
            cursor = await caller.execute("SELECT id FROM fuel_log")
            assert_that(await cursor.fetchall(), HasLength(0))


async def test_session_without_a_transaction_is_not_ended_when_idle():
    async with run_fuel_site(proxy_count=1, idle_transaction_timeout_ms=300) as site:
        async with await connect_with_psycopg(site) as caller:
            await caller.execute(INSERT, (1,))
            await anyio.sleep(2.5)
            await caller.execute(INSERT, (2,))


async def test_statement_past_its_timeout_is_cancelled_at_the_endpoint():
    route = RouteSpec("fuel", "fuel", statement_timeout_ms=300)
    async with run_fuel_site(proxy_count=1, routes={"fuel": route}) as site:
        caller = await connect_with_asyncpg(site)
        with pytest.raises(asyncpg.PostgresError) as caught:
            await caller.execute("SELECT pg_sleep(60)")
        assert_that(str(caught.value), Contains("GP304"))
        await wait_until_no_statement_runs(site)
        assert_that(int(await caller.fetchval("SELECT 1")), Equals(1))
        await caller.close()
