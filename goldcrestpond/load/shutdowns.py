"""Graceful shutdowns of proxies under load."""

import random

import anyio

from ..root.local_site import LocalSite
from .load_run import LoadRun

_PAUSE_S = 1.5


async def shut_proxies_down(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Shut down half of the proxies, one after another."""
    run.details["shutdowns"] = 0
    run.details["longest_shutdown_ms"] = 0
    for proxy in site.proxies[: len(site.proxies) // 2]:
        await anyio.sleep(_PAUSE_S)
        started = run.clock.now()
        await proxy.shutdown.run()
        took_ms = (run.clock.now() - started).total_seconds() * 1000
        run.details["shutdowns"] += 1
        longest_ms = max(run.details["longest_shutdown_ms"], took_ms)
        run.details["longest_shutdown_ms"] = longest_ms
    await anyio.sleep(_PAUSE_S)
