"""Tests of drivers, proxy and stand-in databases together, over real sockets."""

import anyio
import asyncpg
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesRegex

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, %s, %s)"
SELECT_BY_ID = "SELECT litres FROM fuel_log WHERE id = $1::int8"


@pytest.fixture
async def site():
    async with run_fuel_site() as running_site:
        yield running_site


async def test_write_is_read_back_with_psycopg(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1, "12", 80))
        cursor = await caller.execute("SELECT litres FROM fuel_log")
        assert_that(await cursor.fetchall(), HasLength(1))


async def test_prepared_statements_work_on_any_pooled_connection(site):
    caller = await connect_with_asyncpg(site)
    statement = await caller.prepare(SELECT_BY_ID)
    await caller.execute("INSERT INTO fuel_log (id, bus, litres) VALUES (7, '1', 41)")
    other = await connect_with_asyncpg(site)
    for _ in range(3):
        assert_that(int(await statement.fetchval(7)), Equals(41))
        assert_that(int(await other.fetchval(SELECT_BY_ID, 7)), Equals(41))
    await caller.close()
    await other.close()


async def test_transaction_is_rolled_back_as_a_whole(site):
    async with await connect_with_psycopg(site, autocommit=False) as caller:
        await caller.execute(INSERT, (1, "a", 1))
        await caller.rollback()
        await caller.execute(INSERT, (2, "b", 2))
        await caller.commit()
        cursor = await caller.execute("SELECT id FROM fuel_log")
        assert_that(await cursor.fetchall(), HasLength(1))


async def test_pipeline_is_answered_in_order(site):
    async with await connect_with_psycopg(site) as caller:
        async with caller.pipeline():
            cursors = [
                await caller.execute(INSERT + " RETURNING id", (n, "x", n))
                for n in range(20)
            ]
        ids = [int((await cursor.fetchone())[0]) for cursor in cursors]
        assert_that(ids, Equals(list(range(20))))


async def test_token_makes_a_write_visible_on_another_proxy(site):
    async with await connect_with_psycopg(site) as writer:
        await writer.execute(INSERT, (3, "c", 33))
        token = writer.pgconn.parameter_status(b"goldcrestpond.token").decode()
    assert_that(token, MatchesRegex(r"fuel:\d+/\d+"))
    options = (
        f"-c goldcrestpond.token={token} -c default_transaction_read_only=on"
        " -c goldcrestpond.max_age_ms=60000"
    )
    async with await connect_with_psycopg(site, 1, options=options) as reader:
        cursor = await reader.execute("SELECT litres FROM fuel_log WHERE id = 3")
        assert_that(int((await cursor.fetchone())[0]), Equals(33))


async def test_read_only_transaction_is_served_by_a_replica(site):
    caller = await connect_with_asyncpg(site)
    async with caller.transaction(readonly=True):
        await caller.fetch("SELECT * FROM fuel_log")
    assert_that(site.proxies[0].metrics.replica_answer_count > 0, Equals(True))
    await caller.close()


async def test_write_in_a_read_only_session_is_refused(site):
    options = "-c default_transaction_read_only=on"
    async with await connect_with_psycopg(site, options=options) as caller:
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            await caller.execute(INSERT, (1, "x", 1))
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1, "x", 1))


async def test_session_is_usable_after_a_failed_preparation(site):
    caller = await connect_with_asyncpg(site)
    for _ in range(2):
        with pytest.raises(asyncpg.PostgresError):
            await caller.prepare("LISTEN news")
        assert_that(int(await caller.fetchval("SELECT 1")), Equals(1))
    await caller.close()


async def test_cancel_request_reaches_the_endpoint(site):
    caller = await connect_with_asyncpg(site)
    with pytest.raises((TimeoutError, asyncpg.QueryCanceledError)):
        await caller.fetchval("SELECT pg_sleep(20)", timeout=0.2)
    assert_that(int(await caller.fetchval("SELECT 1")), Equals(1))
    await caller.close()


async def test_connection_to_an_unknown_database_is_refused(site):
    with pytest.raises(asyncpg.InvalidCatalogNameError) as caught:
        await connect_with_asyncpg(site, database="nowhere")
    assert_that(str(caught.value), Contains("GP102"))


async def test_copy_is_refused_before_it_runs(site):
    async with await connect_with_psycopg(site) as caller:
        with pytest.raises(psycopg.errors.FeatureNotSupported) as caught:
            await caller.execute("COPY fuel_log TO STDOUT")
        assert_that(str(caught.value), Contains("GP106"))
        await caller.execute("SELECT 1")


async def test_killed_primary_is_replaced_and_writes_succeed_again(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1, "a", 10))
        killed_name = site.group.primary().name
        site.group.kill(killed_name)
        written_id = 0
        with anyio.fail_after(20):
            while not written_id:
                try:
                    await caller.execute(INSERT, (2, "b", 20))
                    written_id = 2
                except psycopg.Error:
                    await anyio.sleep(0.02)
                    if caller.closed:
                        caller = await connect_with_psycopg(site)
        assert_that(site.group.primary().name != killed_name, Equals(True))
        cursor = await caller.execute("SELECT sum(litres) FROM fuel_log")
        assert_that(int((await cursor.fetchone())[0]), Equals(30))
