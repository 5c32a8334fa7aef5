"""Runs a site for tests and connects to it with PostgreSQL drivers."""

from contextlib import asynccontextmanager

import asyncpg
import psycopg

from goldcrestpond.root.local_site import run_local_site
from goldcrestpond.root.local_site_settings import LocalSiteSettings

SCHEMA = ["CREATE TABLE fuel_log (id INTEGER PRIMARY KEY, bus TEXT, litres INTEGER)"]


@asynccontextmanager
async def run_fuel_site(**changes):
    """Run a site with a fuel log; ``changes`` are fields of ``LocalSiteSettings``."""
    values = {"schema": SCHEMA, "connection_delay_ms": 0.0} | changes
    async with run_local_site(LocalSiteSettings(**values)) as site:
        yield site


async def connect_with_psycopg(site, proxy=0, *, autocommit=True, **changes):
    """Connect through a proxy with psycopg."""
    address = site.proxies[proxy].address
    values = {
        "host": address.host,
        "port": address.port,
        "user": "demo",
        "dbname": "fuel",
        "sslmode": "disable",
    }
    return await psycopg.AsyncConnection.connect(
        autocommit=autocommit, **(values | changes)
    )


async def connect_with_asyncpg(site, proxy=0, **changes):
    """Connect through a proxy with asyncpg."""
    address = site.proxies[proxy].address
    values = {
        "host": address.host,
        "port": address.port,
        "user": "demo",
        "database": "fuel",
        "ssl": False,
    }
    return await asyncpg.connect(**(values | changes))
