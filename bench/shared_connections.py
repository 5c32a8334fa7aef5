"""Measures how many connections eight proxies open together under faults.

The endpoints would take far more than the limit in the configuration, so that
the proxies alone keep to it. ``python -m bench.shared_connections --seed 1``
prints one JSON line.
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

_PROXIES = 8
_LIMIT = 35
_ENDPOINT_LIMIT = 1000
_WORKERS = 60
_STEPS = 4
_STEP_S = 1.2
_RESTART_S = 0.3
_FAULTS = ("freeze", "kill", "store", "none")


async def _work(site: LocalSite, rng: random.Random, hot: list[int]) -> None:
    """Open short transactions, half of them on the instance that is hot now."""
    while True:
        proxy = rng.randrange(_PROXIES) if rng.random() < 0.5 else hot[0]
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


async def _break(site: LocalSite, rng: random.Random) -> str:
    fault = rng.choice(_FAULTS)
    server = rng.choice(site.group.databases)
    if fault == "freeze":
        server.freeze()
    elif fault == "kill":
        site.group.kill(server.name)
        await anyio.sleep(_RESTART_S)
        await site.group.restart(server.name)
    elif fault == "store":
        site.platform.faults.down = not site.platform.faults.down
    return fault


async def _measure(seed: int) -> dict[str, object]:
    rng = random.Random(seed)
    settings = LocalSiteSettings(
        proxy_count=_PROXIES, connection_limit=_LIMIT, seed=seed
    )
    faults = []
    async with run_local_site(settings) as site:
        for server in site.group.databases:
            server.settings.connection_limit = _ENDPOINT_LIMIT
        hot = [0]
        async with anyio.create_task_group() as tasks:
            for _ in range(_WORKERS):
                tasks.start_soon(_work, site, rng, hot)
            for _ in range(_STEPS):
                await anyio.sleep(_STEP_S)
                hot[0] = rng.randrange(_PROXIES)
                faults.append(await _break(site, rng))
            await anyio.sleep(_STEP_S)
            tasks.cancel_scope.cancel()
        most = [server.max_open_connections for server in site.group.databases]
    return {"seed": seed, "limit": _LIMIT, "most": most, "faults": faults}


def main(seed: int = 1) -> None:
    """Run once and print the result."""
    logging.disable(logging.CRITICAL)
    result = anyio.run(_measure, seed)
    print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
