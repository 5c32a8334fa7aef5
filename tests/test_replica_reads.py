"""Tests of reads with and without a maximum age, on replicas that lag."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from .site import connect_with_psycopg, run_fuel_site

LAG_MS = 400
READ = "SELECT pg_is_in_recovery(), count(*) FROM fuel_log"
READ_ONLY = "-c default_transaction_read_only=on"


async def read(site, options):
    connection = await connect_with_psycopg(site, options=f"{READ_ONLY} {options}")
    async with connection:
        cursor = await connection.execute(READ)
        return await cursor.fetchone()


def test_lagging_replica_serves_reads_with_a_max_age_except_after_own_writes():
    async def main():
        async with run_fuel_site(replay_lag_ms=LAG_MS) as site:
            await read(site, "-c goldcrestpond.max_age_ms=5000")
            writer = await connect_with_psycopg(site)
            async with writer:
                await writer.execute("INSERT INTO fuel_log VALUES (1, 'a', 2)")
                token = writer.pgconn.parameter_status(b"goldcrestpond.token")
            with_max_age = await read(site, "-c goldcrestpond.max_age_ms=5000")
            without_max_age = await read(site, "")
            token_option = f"-c goldcrestpond.token={token.decode()}"
            with_token = await read(
                site, f"{token_option} -c goldcrestpond.max_age_ms=5000"
            )
            assert_that(bool(with_max_age[0]), Is(True))
            assert_that(without_max_age[1], Equals(1))
            assert_that(with_token[1], Equals(1))

    anyio.run(main)
