"""Failures of the primary during outages of the platform's store."""

import random

import anyio

from ..root.local_site import LocalSite
from .failures import fail_primary, kill
from .load_run import LoadRun

_PAUSE_S = 1.0


async def fail_without_store(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Repeatedly kill the primary during an outage and then end the outage.

    The kinds of outage alternate: the store answers with status 503, does not
    answer, or loses answers.
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
