"""The platform's store is out while primaries fail."""

import random

import anyio

from ..root.local_site import LocalSite
from .failures import fail_primary, kill
from .load_run import LoadRun

_PAUSE_S = 1.0


async def fail_without_store(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Kill a primary during an outage, then bring the store back, repeatedly.

    The first failure meets a store that answers 503, the second a silent one,
    the third one that loses answers, and so on.
    """
    for index in range(1_000_000):
        await anyio.sleep(_PAUSE_S)
        faults = site.platform.faults
        faults.down = index % 3 == 0
        faults.silent = index % 3 == 1
        faults.lose_next_answers = 20 * (index % 3 == 2)
        await anyio.sleep(_PAUSE_S)
        await fail_primary(site, run, kill)
        faults.down = faults.silent = False
        faults.lose_next_answers = 0
