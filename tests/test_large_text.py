"""Statements as large as the protocol takes, by usual drivers."""

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
# A short statement waits at most so long for whatever else the loop has to do.
BOUND_S = 1.0
# With the message's head below the proxy's limit.
SIZE = 16 * MEBIBYTE - 100
# What goes on to a database of the stand-in, which reads it on the same loop.
PASSED_SIZE = MEBIBYTE
GAP = " "
# The first two took 36 to 40 s at 64,000 letters, the third minutes at 300,000.
WORST = {
    "show": lambda: "show goldcrestpond.a" + GAP * PASSED_SIZE + "x",
    "set": lambda: "set goldcrestpond.x " + GAP * PASSED_SIZE + "= ",
    "literal": lambda: "select '" + "y" * PASSED_SIZE + "'",
    "word": lambda: "select " + "x" * PASSED_SIZE,
    "quotes": lambda: "select '" + "''" * (PASSED_SIZE // 2) + "'",
    "declared": lambda: "set goldcrestpond.lane = 'aged'" + GAP * (SIZE - 40),
    "refused": lambda: "set goldcrestpond.lane = '" + "x" * (SIZE - 40) + "'",
    "shown": lambda: "show goldcrestpond.lane" + GAP * (SIZE - 40),
    "not carried": lambda: "copy t from stdin" + GAP * (SIZE - 40),
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


# Guards against: one caller's text that stops the loop, and so all other callers.
@pytest.mark.parametrize("name", WORST)
async def test_worst_statement_leaves_the_short_ones_of_others_answered(site, name):
    waits = []

    async def ask_on(caller):
        while True:
            began = time.monotonic()
            await caller.execute("SELECT 1")
            waits.append(time.monotonic() - began)

    async with (
        await connect_with_psycopg(site) as caller,
        await connect_with_psycopg(site) as other,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(ask_on, other)
        await anyio.sleep(0.05)
        with anyio.move_on_after(10):
            try:
                await caller.execute(WORST[name]())
            except psycopg.Error:
                pass  # refused, or no SQL
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert_that(max(waits), LessThan(BOUND_S))
    assert_that(len(waits) > 5, Equals(True))


# Guards against: a session that keeps statements without end, until the process is
# killed for its memory.
async def test_session_that_prepares_too_much_is_told_and_others_go_on(
    site, monkeypatch
):
    monkeypatch.setattr(caller_statements, "SESSION_STATEMENTS_MAX", 5)
    async with await connect_with_psycopg(site) as other:
        caller = await connect_with_asyncpg(site)
        with pytest.raises(asyncpg.PostgresError) as caught:
            kept = [await caller.prepare(f"select {n}") for n in range(10)]
            assert_that(kept, Equals([]))
        assert_that(str(caught.value), Contains("GP117"))
        caller.terminate()
        cursor = await other.execute("SELECT 1")
        assert_that(await cursor.fetchone(), Equals((1,)))
