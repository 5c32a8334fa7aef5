"""Endpoint connections that stop answering while new connections work."""

import anyio
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

READ_ONLY = "-c default_transaction_read_only=on -c goldcrestpond.max_age_ms=60000"


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=1) as running:
        yield running


def _freeze(site):
    for database in site.group.databases:
        database.freeze()


async def _freeze_soon(site):
    await anyio.sleep(0.3)
    _freeze(site)


async def test_statement_without_an_answer_ends_as_unknown_and_the_next_one_works(site):
    async with await connect_with_psycopg(site) as caller:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_freeze_soon, site)
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("SELECT pg_sleep(0.6)")
        assert_that(caught.value.sqlstate, Equals("08007"))
        assert_that(str(caught.value), Contains("GP301"))
        cursor = await caller.execute("SELECT 1")
        assert_that(int((await cursor.fetchone())[0]), Equals(1))


async def test_read_only_statement_is_repeated_on_a_working_connection(site):
    async with await connect_with_psycopg(site, options=READ_ONLY) as caller:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_freeze_soon, site)
            cursor = await caller.execute("SELECT 7, pg_sleep(0.6)")
        assert_that(int((await cursor.fetchone())[0]), Equals(7))


async def test_silent_idle_connections_fail_one_request_only(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute("SELECT 1")
        _freeze(site)
        with pytest.raises(psycopg.Error) as caught:
            await caller.execute("SELECT 1")
        assert_that(caught.value.sqlstate, Equals("08007"))
        for _ in range(3):
            await caller.execute("SELECT 1")


async def test_long_statement_on_a_healthy_connection_is_not_cancelled(site):
    async with await connect_with_psycopg(site) as caller:
        cursor = await caller.execute("SELECT 5, pg_sleep(2.6)")
        assert_that(int((await cursor.fetchone())[0]), Equals(5))
