"""Measures how many connections eight proxies open together under faults.

The endpoints accept many more connections than the limit in the configuration, so that
only the proxies enforce it. ``python -m bench.shared_connections --seed 1`` prints one
JSON line.
"""

import logging
import random
from contextlib import suppress

import anyio
import asyncpg
import fire
import msgspec

from goldcrestpond.root.local_site import LocalSite, run_local_site
from goldcrestpond.root.local_site_settings import LocalSiteSettings

_PROXY_COUNT = 8
_CONNECTION_LIMIT = 35
_ENDPOINT_CONNECTION_LIMIT = 1000
_WORKER_COUNT = 60
_FAULT_COUNT = 4
_FAULT_INTERVAL_S = 1.2
_RESTART_DELAY_S = 0.3
_FAULTS = ("freeze", "kill", "store", "none")


async def _run_transactions(
    site: LocalSite, rng: random.Random, busy_proxy: list[int]
) -> None:
    """Run short transactions, about half of them on the proxy in ``busy_proxy``."""
    while True:
        proxy = rng.randrange(_PROXY_COUNT) if rng.random() < 0.5 else busy_proxy[0]
        with suppress(asyncpg.PostgresError, asyncpg.InterfaceError, OSError):
            address = site.proxies[proxy].address
            caller = await asyncpg.connect(
                host=address.host,
                port=address.port,
                user="demo",
                database="fuel",
                ssl=False,
            )
            try:
                for _ in range(rng.randrange(1, 6)):
                    await caller.execute("BEGIN")
                    await caller.execute(f"SELECT pg_sleep({rng.random() * 0.1})")
                    await caller.execute("COMMIT")
            finally:
                caller.terminate()
        await anyio.sleep(0.005)


async def _cause_fault(site: LocalSite, rng: random.Random) -> str:
    """Cause a random fault and return its name.

    ``freeze`` silences the open connections of a database, ``kill`` restarts a
    database, and ``store`` starts or ends an outage of the store.
    """
    fault = rng.choice(_FAULTS)
    server = rng.choice(site.group.databases)
    if fault == "freeze":
        server.freeze()
    elif fault == "kill":
        site.group.kill(server.name)
        await anyio.sleep(_RESTART_DELAY_S)
        await site.group.restart(server.name)
    elif fault == "store":
        site.platform.faults.down = not site.platform.faults.down
    return fault


async def _measure(seed: int) -> dict[str, object]:
    rng = random.Random(seed)
    settings = LocalSiteSettings(
        proxy_count=_PROXY_COUNT, connection_limit=_CONNECTION_LIMIT, seed=seed
    )
    faults = []
    async with run_local_site(settings) as site:
        for server in site.group.databases:
            server.settings.connection_limit = _ENDPOINT_CONNECTION_LIMIT
        busy_proxy = [0]
        async with anyio.create_task_group() as tasks:
            for _ in range(_WORKER_COUNT):
                tasks.start_soon(_run_transactions, site, rng, busy_proxy)
            for _ in range(_FAULT_COUNT):
                await anyio.sleep(_FAULT_INTERVAL_S)
                busy_proxy[0] = rng.randrange(_PROXY_COUNT)
                faults.append(await _cause_fault(site, rng))
            await anyio.sleep(_FAULT_INTERVAL_S)
            tasks.cancel_scope.cancel()
        max_counts = [server.max_open_connections for server in site.group.databases]
    return {
        "seed": seed,
        "limit": _CONNECTION_LIMIT,
        "most": max_counts,
        "faults": faults,
    }


def main(seed: int = 1) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    seed : int
        Seed of the load and of the faults.
    """
    logging.disable(logging.CRITICAL)
    result = anyio.run(_measure, seed)
    print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
