"""Helpers that run scenarios against the database group stand-in."""

import anyio
import asyncpg
import psycopg

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.standin.database_group import run_database_group
from goldcrestpond.standin.database_group_settings import (
    DatabaseGroupSettings,
    StandinDatabase,
)

SCHEMA = [
    "CREATE TABLE fuel_log (id BIGINT PRIMARY KEY, vehicle TEXT NOT NULL,"
    " litres DOUBLE PRECISION, checked BOOLEAN)"
]
INSERT = "INSERT INTO fuel_log VALUES (%s, 'bus', 1.5, true)"


def run_scenario(scenario, **settings):
    """Run ``scenario(group)`` with a group of databases a, b and c."""

    async def main():
        names = [StandinDatabase(name) for name in "abc"]
        group_settings = DatabaseGroupSettings(names, schema=SCHEMA, **settings)
        with anyio.fail_after(20):
            async with run_database_group(group_settings, SystemClock()) as group:
                await scenario(group)

    anyio.run(main)


async def connect(server, **options):
    """Connect with psycopg in autocommit mode."""
    return await psycopg.AsyncConnection.connect(
        host=server.address.host,
        port=server.address.port,
        user="demo",
        dbname="fuel",
        sslmode="disable",
        autocommit=True,
        **options,
    )


async def connect_asyncpg(server):
    """Connect with asyncpg."""
    return await asyncpg.connect(
        host=server.address.host,
        port=server.address.port,
        user="demo",
        database="fuel",
        ssl=False,
    )


async def query_rows(server, sql, *parameters):
    """Run one statement on a new connection and return its rows."""
    async with await connect(server) as connection:
        cursor = await connection.execute(sql, parameters)
        return await cursor.fetchall() if cursor.description else []


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await anyio.sleep(0.002)
