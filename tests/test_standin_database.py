"""The database group stand-in, used through psycopg and asyncpg."""

import anyio
import psycopg
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from goldcrestpond.group.log_position import parse_log_position
from goldcrestpond.standin.result_columns import describe_columns, describe_parameters
from goldcrestpond.standin.statement import parse_statement, split_statements

from .standin_group import (
    INSERT,
    connect,
    connect_asyncpg,
    query_rows,
    run_scenario,
    wait_until,
)

_ROW = (7, "bus", 1.5, True)


async def expect_sqlstate(sqlstate, call):
    with pytest.raises(psycopg.Error) as caught:
        await call
    assert_that(caught.value.sqlstate, Equals(sqlstate))


def test_psycopg_prepares_pipelines_and_rolls_back():
    async def scenario(group):
        async with await connect(group.databases[0], prepare_threshold=0) as caller:
            async with caller.pipeline():
                await caller.execute(INSERT, [7])
                cursor = await caller.execute("SELECT * FROM fuel_log")
            assert_that(await cursor.fetchall(), Equals([_ROW]))
            assert_that(_position(caller).position, Equals(2))
            with pytest.raises(psycopg.errors.UniqueViolation):
                async with caller.transaction():
                    await caller.execute(INSERT, [8])
                    await caller.execute(INSERT, [7])
            await caller.execute("BEGIN")
            await expect_sqlstate("42P01", caller.execute("SELECT * FROM missing"))
            await expect_sqlstate("25P02", caller.execute("SELECT 1"))
            await caller.rollback()
            cursor = await caller.execute("SELECT count(*) FROM fuel_log")
            assert_that(await cursor.fetchall(), Equals([(1,)]))

    run_scenario(scenario)


def test_asyncpg_uses_binary_values_and_cursors():
    async def scenario(group):
        caller = await connect_asyncpg(group.databases[0])
        rows = [(number, "bus", number / 2, None) for number in range(40)]
        await caller.executemany("INSERT INTO fuel_log VALUES ($1,$2,$3,$4)", rows)
        async with caller.transaction(readonly=True):
            cursor = caller.cursor("SELECT * FROM fuel_log", prefetch=7)
            assert_that([tuple(row) async for row in cursor], Equals(rows))
        total = await caller.fetchval("SELECT sum(litres) FROM fuel_log")
        assert_that(total, Equals(390.0))
        value = await caller.fetchval("SELECT $1::int8 + 1", 2**40)
        assert_that(value, Equals(2**40 + 1))
        await caller.reset()
        await caller.close()

    run_scenario(scenario)


def test_a_read_only_transaction_and_a_replica_refuse_writes():
    async def scenario(group):
        primary, replica, _ = group.databases
        async with await connect(primary) as caller:
            await caller.execute("BEGIN READ ONLY")
            await expect_sqlstate("25006", caller.execute(INSERT, [1]))
            await caller.execute("ROLLBACK")
            await caller.execute("SET default_transaction_read_only = on")
            await expect_sqlstate("25006", caller.execute(INSERT, [1]))
            await caller.execute("DISCARD ALL")
            await caller.execute(INSERT, [1])
        await expect_sqlstate("25006", query_rows(replica, INSERT, 2))

    run_scenario(scenario)


def test_transactions_do_not_see_uncommitted_writes_and_conflict_at_commit():
    async def scenario(group):
        primary = group.databases[0]
        async with await connect(primary) as one, await connect(primary) as two:
            await one.execute("BEGIN")
            await two.execute("BEGIN")
            await one.execute(INSERT, [1])
            cursor = await two.execute("SELECT * FROM fuel_log")
            assert_that(await cursor.fetchall(), HasLength(0))
            await two.execute(INSERT, [1])
            await one.commit()
            await expect_sqlstate("23505", two.commit())

    run_scenario(scenario)


def test_cancel_request_and_statement_timeout_end_a_statement():
    async def scenario(group):
        async with await connect(group.databases[0]) as caller:

            async def cancel_soon():
                await anyio.sleep(0.02)
                await caller.cancel_safe()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_soon)
                await expect_sqlstate("57014", caller.execute("SELECT pg_sleep(9)"))
            await caller.execute("SET statement_timeout = 20")
            await expect_sqlstate("57014", caller.execute("SELECT pg_sleep(9)"))
            await caller.execute("SELECT 1")

    run_scenario(scenario)


def test_slots_limit_the_number_of_concurrent_statements():
    async def scenario(group):
        primary = group.databases[0]
        running = []

        async def sleep():
            await query_rows(primary, "SELECT pg_sleep(0.05)")

        async with anyio.create_task_group() as tasks:
            for _ in range(6):
                tasks.start_soon(sleep)
            for _ in range(40):
                await anyio.sleep(0.002)
                running.append(2 - primary.slots.value)
        assert_that(max(running), Equals(2))

    run_scenario(scenario, slot_limit=2)


def test_connections_beyond_the_limit_are_refused():
    async def scenario(group):
        primary = group.databases[0]
        async with await connect(primary):
            with pytest.raises(psycopg.OperationalError, match="too many clients"):
                await connect(primary)
        await wait_until(lambda: not primary.connections)
        await query_rows(primary, "SELECT 1")

    run_scenario(scenario, connection_limit=1)


def test_lost_answer_still_commits_and_cut_answer_closes_the_connection():
    async def scenario(group):
        primary = group.databases[0]
        async with await connect(primary) as control:
            await control.execute("SELECT standin_fault('lose_answer', '1')")
            with pytest.raises(psycopg.OperationalError):
                await query_rows(primary, INSERT, 1)
            await control.execute("SELECT standin_fault('cut', '1')")
            with pytest.raises(psycopg.OperationalError):
                await query_rows(primary, "SELECT * FROM fuel_log")
            cursor = await control.execute("SELECT id FROM fuel_log")
            assert_that(await cursor.fetchall(), Equals([(1,)]))

    run_scenario(scenario)


def test_frozen_connections_do_not_answer_while_new_ones_work():
    async def scenario(group):
        primary = group.databases[0]
        caller = await connect(primary)
        group.freeze("a")
        with anyio.move_on_after(0.05) as silence:
            await caller.execute(INSERT, [1])
        assert_that(silence.cancelled_caught, Equals(True))
        assert_that(await query_rows(primary, "SELECT * FROM fuel_log"), HasLength(0))

    run_scenario(scenario)


def test_partition_from_callers_delays_answers_until_it_heals():
    async def scenario(group):
        primary = group.databases[0]
        async with await connect(primary) as caller:
            group.partition("a", callers=True)
            with anyio.move_on_after(0.05) as silence:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(caller.execute, INSERT, [1])
                    await anyio.sleep(0.02)
                    assert_that(primary.database.log, HasLength(1))
                    group.partition("a", peers=False)
            assert_that(silence.cancelled_caught, Equals(False))

    run_scenario(scenario)


def test_replication_lag_delays_receipt_and_reads():
    async def scenario(group):
        primary, late, stale = group.databases
        late.faults.set("receive_delay_ms", "1e6")
        stale.faults.set("replay_lag_ms", "1e6")
        await query_rows(primary, INSERT, 1)
        await wait_until(lambda: stale.database.status().position == 2)
        assert_that(await query_rows(stale, "SELECT * FROM fuel_log"), HasLength(0))
        assert_that(late.database.status().position, Equals(1))
        group.set_fault("a", "c.replay_lag_ms", "0")
        await wait_until(lambda: stale.database.status().replayed_position == 2)

    run_scenario(scenario)


def test_replaced_primary_discards_entries_missing_from_the_new_primary():
    async def scenario(group):
        old, new, other = group.databases
        await query_rows(old, INSERT, 1)
        await wait_until(lambda: len(other.database.log) == len(new.database.log) == 2)
        group.partition("a")
        await query_rows(old, INSERT, 2)
        follow = f"SELECT group_follow(2, '{new.address}')"
        await expect_sqlstate("GT001", query_rows(new, "SELECT group_promote(2, 'p')"))
        await query_rows(new, "SELECT group_fence(2, 'p')")
        await expect_sqlstate("GT001", query_rows(new, "SELECT group_fence(2, 'q')"))
        await expect_sqlstate("GT001", query_rows(new, "SELECT group_fence(1, 'p')"))
        await expect_sqlstate("25006", query_rows(new, INSERT, 3))
        await query_rows(new, "SELECT group_promote(2, 'p')")
        await query_rows(other, follow)
        await query_rows(new, INSERT, 4)
        await query_rows(old, INSERT, 5)
        await expect_sqlstate("GT001", query_rows(old, follow))
        group.partition("a", peers=False)
        await query_rows(old, follow)
        await wait_until(lambda: old.database.log == new.database.log)
        for server in group.databases:
            await wait_until(lambda s=server: s.database.replayed_position == 3)
            rows = await query_rows(server, "SELECT id FROM fuel_log ORDER BY id")
            assert_that(rows, Equals([(1,), (4,)]))

    run_scenario(scenario)


def test_a_killed_database_restarts_from_its_log():
    async def scenario(group):
        primary = group.databases[0]
        caller = await connect(primary)
        await caller.execute(INSERT, [1])
        group.kill("a")
        with pytest.raises(psycopg.OperationalError):
            await caller.execute(INSERT, [2])
        with pytest.raises(psycopg.OperationalError):
            await connect(primary)
        await group.restart("a")
        assert_that(
            await query_rows(primary, "SELECT id FROM fuel_log"), Equals([(1,)])
        )

    run_scenario(scenario)


@settings(max_examples=300)
@given(st.lists(st.sampled_from(["';'", '";"', "$1", "x", "/*;*/", "--;\n"])))
def test_semicolons_in_quotes_and_comments_do_not_split_statements(parts):
    source = "SELECT " + " ".join(parts)
    assert_that(split_statements(source), HasLength(1))
    assert_that(parse_statement(source).parameter_count, LessThan(2))


def test_types_are_inferred_from_casts_columns_and_functions():
    tables = {"fuel_log": [("id", 20), ("litres", 701)]}
    types = dict(tables["fuel_log"])
    statement = parse_statement(
        "SELECT *, id AS n, count(*), sum(litres), $2::bool, 'a,b', litres * 2"
        " FROM fuel_log WHERE id = $1 LIMIT $3"
    )
    parameters = describe_parameters(statement, [], tables, types)
    columns = describe_columns(statement, parameters, tables, types)
    assert_that(parameters, Equals([20, 16, 20]))
    found = [oid for _, oid in columns]
    assert_that(found, Equals([20, 701, 20, 20, 701, 16, 25, 701]))


def _position(connection):
    return parse_log_position(connection.info.parameter_status("group.position"))
