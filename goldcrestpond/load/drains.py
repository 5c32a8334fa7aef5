"""Drains a replica and then the primary."""

import random
from datetime import timedelta

import anyio

from ..configuration.drain_order_spec import DrainOrderSpec
from ..configuration.keys import resource_key
from ..configuration.kind import Kind
from ..configuration.stored_resource import encode_resource_row
from ..root.local_site import LocalSite
from ..standin.database_server import DatabaseServer
from ..store.http_platform import HttpPlatform
from .load_run import LoadRun

_PAUSE_S = 1.5
_OBSERVATION_S = 5.0
_DEADLINE_MS = 4000


async def drain_databases(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Drain a replica, then the primary, and record when their last work began."""
    async with HttpPlatform(site.platform.address) as platform:
        for name in ("replica", "primary"):
            await anyio.sleep(_PAUSE_S)
            primary = site.group.primary()
            server = primary
            if name == "replica":
                replicas = [
                    database
                    for database in site.group.databases
                    if database is not primary
                ]
                server = rng.choice(replicas)
            time_to_last_statement = await _drain_database(platform, server, name, run)
            key = f"{name}_last_work_ms"
            run.details[key] = time_to_last_statement / timedelta(milliseconds=1)
            is_primary = site.group.primary() is server
            run.details[f"{name}_still_primary"] = float(is_primary)


async def _drain_database(
    platform: HttpPlatform, server: DatabaseServer, name: str, run: LoadRun
) -> timedelta:
    """Drain a database; return the time from the order to its last statement's start.

    The time is negative if no statement began after the order.
    """
    key = resource_key(Kind.DRAIN_ORDER, name)
    group = server.name.rpartition("-")[0]
    spec = DrainOrderSpec(group, server.name, _DEADLINE_MS)
    ordered_at = run.clock.now()
    revision = await platform.put(key, encode_resource_row(spec, 1), 0)
    await anyio.sleep(_OBSERVATION_S)
    await platform.delete(key, revision)
    return server.last_statement_at - ordered_at
