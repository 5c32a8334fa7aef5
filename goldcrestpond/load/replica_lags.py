"""Varies the replay lag of replicas."""

import random

import anyio

from ..root.local_site import LocalSite
from .load_run import LoadRun

_LOWEST_LAG_MS = 50
_HIGHEST_LAG_MS = 500
_CHANGE_INTERVAL_S = 0.5


async def vary_replica_lags(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Repeatedly set a random replay lag on each database until the run is over."""
    while True:
        for server in site.group.databases:
            lag_ms = rng.uniform(_LOWEST_LAG_MS, _HIGHEST_LAG_MS)
            server.faults.replay_lag_ms = lag_ms
        await anyio.sleep(_CHANGE_INTERVAL_S)
