"""Statements near the size limit of the protocol, sent by common drivers."""

import time

import anyio
import asyncpg
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan

from goldcrestpond.settings.proxy_settings import MEBIBYTE
from goldcrestpond.wire import caller_statements

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

LITERAL = "y" * 300_000
# Longest time that a short statement may wait for other work of the event loop.
MAX_WAIT_S = 1.0
# Statement length that, with the frame's header, stays below the proxy's limit.
NEAR_LIMIT_BYTES = 16 * MEBIBYTE - 100
# Length of statements that are forwarded to a stand-in database, which parses them on
# the same event loop.
FORWARDED_BYTES = MEBIBYTE
SPACE = " "
# Before texts were parsed in linear time, the first two took 36 to 40 s at 64,000
# characters, and the third took minutes at 300,000.
SLOW_STATEMENTS = {
    "show": lambda: "show goldcrestpond.a" + SPACE * FORWARDED_BYTES + "x",
    "set": lambda: "set goldcrestpond.x " + SPACE * FORWARDED_BYTES + "= ",
    "literal": lambda: "select '" + "y" * FORWARDED_BYTES + "'",
    "word": lambda: "select " + "x" * FORWARDED_BYTES,
    "quotes": lambda: "select '" + "''" * (FORWARDED_BYTES // 2) + "'",
    "declared": lambda: (
        "set goldcrestpond.lane = 'aged'" + SPACE * (NEAR_LIMIT_BYTES - 40)
    ),
    "refused": lambda: (
        "set goldcrestpond.lane = '" + "x" * (NEAR_LIMIT_BYTES - 40) + "'"
    ),
    "shown": lambda: "show goldcrestpond.lane" + SPACE * (NEAR_LIMIT_BYTES - 40),
    "not carried": lambda: "copy t from stdin" + SPACE * (NEAR_LIMIT_BYTES - 40),
}


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=1) as running:
        yield running


async def test_large_literal_comes_back_whole_through_psycopg(site):
    async with await connect_with_psycopg(site) as caller:
        cursor = await caller.execute(f"select '{LITERAL}'")
        assert_that(await cursor.fetchone(), Equals((LITERAL,)))
        cursor = await caller.execute("select %s::text", (LITERAL,))
        assert_that(await cursor.fetchone(), Equals((LITERAL,)))


async def test_large_literal_comes_back_whole_through_asyncpg(site):
    caller = await connect_with_asyncpg(site)
    try:
        assert_that(await caller.fetchval(f"select '{LITERAL}'"), Equals(LITERAL))
        answer = await caller.fetchval("select $1::text", LITERAL)
        assert_that(answer, Equals(LITERAL))
    finally:
        await caller.close()


# Guards against: the text of one caller that blocks the event loop, and so all others.
@pytest.mark.parametrize("name", SLOW_STATEMENTS)
async def test_slow_statement_does_not_delay_other_callers(site, name):
    waits_s = []

    async def run_queries(caller):
        while True:
            started_at_s = time.monotonic()
            await caller.execute("SELECT 1")
            waits_s.append(time.monotonic() - started_at_s)

    async with (
        await connect_with_psycopg(site) as caller,
        await connect_with_psycopg(site) as other,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(run_queries, other)
        await anyio.sleep(0.05)
        with anyio.move_on_after(10):
            try:
                await caller.execute(SLOW_STATEMENTS[name]())
            except psycopg.Error:
                pass  # refused, or invalid SQL
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert_that(max(waits_s), LessThan(MAX_WAIT_S))
    assert_that(len(waits_s) > 5, Equals(True))


# Guards against: a session that prepares statements without limit, until the process
# runs out of memory. Other sessions must not be affected by its error.
async def test_session_with_too_many_prepared_statements_gets_an_error(
    site, monkeypatch
):
    monkeypatch.setattr(caller_statements, "MAX_SESSION_STATEMENTS", 5)
    async with await connect_with_psycopg(site) as other:
        caller = await connect_with_asyncpg(site)
        with pytest.raises(asyncpg.PostgresError) as caught:
            kept = [await caller.prepare(f"select {n}") for n in range(10)]
            assert_that(kept, Equals([]))
        assert_that(str(caught.value), Contains("GP117"))
        caller.terminate()
        cursor = await other.execute("SELECT 1")
        assert_that(await cursor.fetchone(), Equals((1,)))
