"""Tests of a proxy's graceful shutdown, over real sockets and as a process."""

import signal
import subprocess
import sys
from contextlib import AsyncExitStack

import anyio
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.wire.caller_server import CallerServer

from .site import connect_with_asyncpg, connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, 'a', 1)"


@pytest.fixture
async def site():
    async with run_fuel_site() as running_site:
        yield running_site


async def _count_rows(site):
    async with await connect_with_psycopg(site, 1) as caller:
        cursor = await caller.execute("SELECT id FROM fuel_log")
        return len(await cursor.fetchall())


async def test_idle_caller_is_closed_with_a_shutdown_error(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute("SELECT 1")
        await site.proxies[0].shutdown.run()
        with pytest.raises(psycopg.errors.AdminShutdown) as caught:
            await caller.execute("SELECT 1")
        assert_that(str(caught.value), Contains("GP109"))
    with pytest.raises(OSError):
        await connect_with_asyncpg(site)


async def test_request_and_transaction_in_flight_are_finished(site):
    async with await connect_with_psycopg(site, autocommit=False) as caller:
        await caller.execute(INSERT, (1,))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.proxies[0].shutdown.run)
            await anyio.sleep(0.1)
            await caller.execute("SELECT pg_sleep(0.2)")
            await caller.execute(INSERT, (2,))
            await caller.commit()
    assert_that(await _count_rows(site), Equals(2))


async def test_stream_of_requests_ends_between_two_requests(site):
    confirmed_ids = []

    async def write(writer_number, caller):
        with pytest.raises(psycopg.errors.AdminShutdown):
            for turn in range(10_000):
                row_id = writer_number * 10_000 + turn
                await caller.execute(INSERT, (row_id,))
                confirmed_ids.append(row_id)

    async with AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(await connect_with_psycopg(site))
            for _ in range(4)
        ]
        async with anyio.create_task_group() as tasks:
            for number, caller in enumerate(callers):
                tasks.start_soon(write, number, caller)
            await anyio.sleep(0.3)
            await site.proxies[0].shutdown.run()
    assert_that(len(confirmed_ids) > 0, Equals(True))
    assert_that(await _count_rows(site), Equals(len(confirmed_ids)))


async def test_open_transaction_is_rolled_back_at_the_deadline():
    async with run_fuel_site(shutdown_timeout_ms=300) as site:
        async with await connect_with_psycopg(site, autocommit=False) as caller:
            await caller.execute(INSERT, (1,))
            await site.proxies[0].shutdown.run()
            with pytest.raises(psycopg.errors.AdminShutdown):
                await caller.execute("SELECT 1")
        assert_that(await _count_rows(site), Equals(0))


async def test_statement_interrupted_at_the_deadline_has_an_unknown_outcome():
    async with run_fuel_site(shutdown_timeout_ms=300) as site:
        async with await connect_with_psycopg(site) as caller:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.proxies[0].shutdown.run)
                with pytest.raises(psycopg.Error) as caught:
                    await caller.execute("SELECT pg_sleep(5)")
            assert_that(caught.value.sqlstate, Equals("08007"))


async def test_shutdown_during_a_failover_waits_for_the_new_primary(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        primary = site.proxies[0].services.find("fuel").monitor.primary
        site.group.kill(primary.database)
        async with anyio.create_task_group() as tasks:

            async def shut_down():
                await anyio.sleep(0.05)
                await site.proxies[0].shutdown.run()

            tasks.start_soon(shut_down)
            await caller.execute(INSERT, (2,))
    assert_that(await _count_rows(site), Equals(2))


# Failure: a caller that logs in while the shutdown begins isn't told of it: its
# requests go to the database until the deadline, when the last one is cut.
async def test_caller_that_logs_in_while_the_shutdown_begins(site, monkeypatch):
    log_in, is_logging_in, may_log_in = (
        CallerServer._log_in,
        anyio.Event(),
        anyio.Event(),
    )

    async def log_in_slowly(server, stream, message):
        await log_in(server, stream, message)
        is_logging_in.set()
        await may_log_in.wait()

    async def run_requests():
        async with await connect_with_psycopg(site) as caller:
            with pytest.raises(psycopg.errors.AdminShutdown):
                await caller.execute(INSERT, (1,))

    async with await connect_with_psycopg(site, autocommit=False) as other_caller:
        await other_caller.execute(INSERT, (2,))  # keeps the shutdown from ending
        monkeypatch.setattr(CallerServer, "_log_in", log_in_slowly)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_requests)
            await is_logging_in.wait()
            tasks.start_soon(site.proxies[0].shutdown.run)
            await anyio.sleep(0.1)
            may_log_in.set()
            await anyio.sleep(0.2)
            await other_caller.rollback()
    assert_that(await _count_rows(site), Equals(0))


async def test_process_finishes_its_request_after_two_sigterms(tmp_path):
    async with run_fuel_site(proxy_count=1) as site:
        settings = tmp_path / "proxy.json"
        settings.write_text(
            '{"instance": "single", "listen": "127.0.0.1:0",'
            f'"platform": "{site.platform.address}"}}'
        )
        program = "from goldcrestpond.cli.proxy import main; main()"
        process = await anyio.open_process(
            [sys.executable, "-c", program, str(settings)],
            stderr=subprocess.DEVNULL,
        )
        try:
            line = (await process.stdout.receive()).decode()
            port = int(line.strip().rpartition(":")[2])
            async with await psycopg.AsyncConnection.connect(
                host="127.0.0.1",
                port=port,
                user="demo",
                dbname="fuel",
                autocommit=True,
                sslmode="disable",
            ) as caller:
                async with anyio.create_task_group() as tasks:

                    async def terminate():
                        await anyio.sleep(0.1)
                        process.send_signal(signal.SIGTERM)
                        await anyio.sleep(0.1)
                        process.send_signal(signal.SIGTERM)

                    tasks.start_soon(terminate)
                    cursor = await caller.execute("SELECT 3, pg_sleep(0.5)")
                assert_that(await cursor.fetchall(), HasLength(1))
            assert_that(await process.wait(), Equals(0))
        finally:
            if process.returncode is None:
                process.kill()
            await process.aclose()
