"""Requests with an id are committed at most once, and each attempt gets the answer."""

import anyio
import asyncpg
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.configuration.route_spec import RouteSpec

from .site import SCHEMA, connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

REQUEST_TABLE = "CREATE TABLE request (request_id TEXT PRIMARY KEY, answer TEXT)"
INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, %s, %s) RETURNING id"


@pytest.fixture
async def site():
    route = RouteSpec("fuel", "fuel", request_table="request", queue_timeout_ms=10_000)
    async with run_fuel_site(
        schema=[*SCHEMA, REQUEST_TABLE], routes={"fuel": route}
    ) as running:
        yield running


async def read_entries(site):
    async with await connect_with_psycopg(site) as caller:
        cursor = await caller.execute("SELECT id FROM fuel_log")
        return await cursor.fetchall()


async def insert_with_id(site, proxy, request_id, entry):
    async with await connect_with_psycopg(site, proxy) as caller:
        await caller.execute(f"SET goldcrestpond.request_id = '{request_id}'")
        cursor = await caller.execute(INSERT, (entry, "12", 80))
        return int((await cursor.fetchone())[0])


async def test_second_attempt_on_another_instance_gets_the_first_answer(site):
    assert_that(await insert_with_id(site, 0, "a-1", 1), Equals(1))
    assert_that(await insert_with_id(site, 1, "a-1", 1), Equals(1))
    assert_that(await insert_with_id(site, 1, "a-2", 2), Equals(2))
    assert_that(await read_entries(site), HasLength(2))


async def test_ids_work_with_simple_and_extended_queries(site):
    for _ in range(2):
        caller = await connect_with_asyncpg(site)
        await caller.execute("SET goldcrestpond.request_id = 'b-1'")
        await caller.execute(
            "INSERT INTO fuel_log (id, bus, litres) VALUES (5, 'x', 1)"
        )
        await caller.execute("SET goldcrestpond.request_id = 'b-2'")
        await caller.fetchval(
            "INSERT INTO fuel_log (id, bus, litres) VALUES ($1::int8, 'y', 2)"
            " RETURNING id",
            6,
        )
        await caller.close()
    assert_that(await read_entries(site), HasLength(2))


async def test_failed_request_leaves_its_id_unused(site):
    await insert_with_id(site, 0, "c-1", 1)
    with pytest.raises(psycopg.errors.UniqueViolation):
        await insert_with_id(site, 0, "c-2", 1)
    assert_that(await insert_with_id(site, 1, "c-2", 2), Equals(2))


async def test_only_one_of_several_concurrent_attempts_commits(site):
    answers = []

    async def attempt(proxy):
        answers.append(await insert_with_id(site, proxy, "d-1", 9))

    async with anyio.create_task_group() as tasks:
        for proxy in (0, 1, 0, 1):
            tasks.start_soon(attempt, proxy)
    assert_that(answers, Equals([9] * 4))
    assert_that(await read_entries(site), HasLength(1))


async def test_answer_lost_after_the_commit_is_read_from_the_request_table(site):
    await insert_with_id(site, 0, "e-0", 1)
    site.group.primary().faults.lose_answer = True
    assert_that(await insert_with_id(site, 0, "e-1", 2), Equals(2))
    assert_that(await read_entries(site), HasLength(2))


async def test_request_with_an_id_succeeds_after_its_primary_fails(site):
    await insert_with_id(site, 0, "f-0", 1)
    site.group.kill(site.group.primary().name)
    assert_that(await insert_with_id(site, 0, "f-1", 2), Equals(2))
    assert_that(await read_entries(site), HasLength(2))


async def test_request_without_an_id_is_not_repeated(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1, "a", 1))
        site.group.primary().faults.lose_answer = True
        with pytest.raises(psycopg.Error) as caught:
            await caller.execute(INSERT, (2, "b", 2))
        assert_that(str(caught.value), Contains("GP301"))
        assert_that(caught.value.sqlstate, Equals("08007"))


async def test_write_refused_by_a_fenced_primary_runs_on_the_next_primary(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1, "a", 1))
        primary = site.group.primary()
        for server in site.group.databases:
            server.database.fence(primary.database.term + 1, "nobody")
        await caller.execute(INSERT, (2, "b", 2))
    assert_that(await read_entries(site), HasLength(2))


async def test_invalid_parameter_values_are_refused(site):
    caller = await connect_with_asyncpg(site)
    for name, value in (("lane", "fast"), ("max_age_ms", "-1"), ("token", "x:1")):
        with pytest.raises(asyncpg.PostgresError) as caught:
            await caller.execute(f"SET goldcrestpond.{name} = '{value}'")
        assert_that(caught.value.sqlstate, Equals("22023"))
    await caller.close()
