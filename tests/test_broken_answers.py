"""Answers that are interrupted or late, callers that disconnect, and full endpoints."""

import anyio
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

READ_ONLY = "-c default_transaction_read_only=on -c goldcrestpond.max_age_ms=60000"
INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, 'a', 1)"


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=1) as running:
        yield running


def _interrupt_answers(site, count):
    for database in site.group.databases:
        database.faults.cut = count


async def test_interrupted_answer_is_reported_as_an_error(site):
    async with await connect_with_psycopg(site) as caller:
        _interrupt_answers(site, 1)
        with pytest.raises(psycopg.Error) as caught:
            await caller.execute("SELECT 1, 2, 3")
        assert_that(caught.value.sqlstate[:2], Equals("08"))
        cursor = await caller.execute("SELECT 4")
        assert_that(int((await cursor.fetchone())[0]), Equals(4))


async def test_write_whose_answer_is_lost_after_the_commit_is_not_repeated(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        for database in site.group.databases:
            database.faults.lose_answer = 1
        with pytest.raises(psycopg.Error) as caught:
            await caller.execute("INSERT INTO fuel_log (bus, litres) VALUES ('b', 2)")
        assert_that(caught.value.sqlstate, Equals("08007"))
        for database in site.group.databases:
            database.faults.lose_answer = 0
        cursor = await caller.execute("SELECT id FROM fuel_log WHERE bus = 'b'")
        assert_that(await cursor.fetchall(), HasLength(1))


async def test_late_answers_for_disconnected_callers_reach_no_other_caller(site):
    async def disconnect_early(number):
        caller = await connect_with_asyncpg(site, user=f"early{number}")
        with anyio.move_on_after(0.05):
            await caller.fetchval("SELECT 'early', pg_sleep(0.2)")
        caller.terminate()

    async def run_queries(number):
        caller = await connect_with_asyncpg(site)
        for turn in range(20):
            expected = number * 100 + turn
            value = await caller.fetchval(f"SELECT {expected}")
            assert_that(int(value), Equals(expected))
        await caller.close()

    async with anyio.create_task_group() as tasks:
        for number in range(6):
            tasks.start_soon(disconnect_early, number)
            tasks.start_soon(run_queries, number)


async def test_transaction_of_a_disconnected_caller_is_rolled_back(site):
    disconnected = await connect_with_asyncpg(site)
    await disconnected.execute("BEGIN")
    await disconnected.execute(
        "INSERT INTO fuel_log (id, bus, litres) VALUES (1, 'a', 1)"
    )
    disconnected.terminate()
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        cursor = await caller.execute("SELECT id FROM fuel_log")
        assert_that(await cursor.fetchall(), HasLength(1))


async def test_request_is_not_run_if_the_endpoint_refuses_connections(site):
    for database in site.group.databases:
        database.settings.connection_limit = len(database.connections)
    async with await connect_with_psycopg(site) as caller:
        with pytest.raises(psycopg.Error) as caught:
            await caller.execute(INSERT, (1,))
        assert_that(caught.value.sqlstate[:2] in ("53", "57"), Equals(True))
        for database in site.group.databases:
            database.settings.connection_limit = 35
        await caller.execute(INSERT, (1,))


async def test_idle_open_transactions_leave_slots_to_other_callers(site):
    holders = [await connect_with_asyncpg(site) for _ in range(2)]
    for holder in holders:
        await holder.execute("BEGIN")
        await holder.fetchval("SELECT 1")
    async with await connect_with_psycopg(site) as caller:
        await caller.execute("SELECT 1")
    for holder in holders:
        await holder.execute("ROLLBACK")
        await holder.close()
