"""Open connections that stop answering for good while new ones work."""

import random

import anyio

from ..root.local_site import LocalSite
from .load_run import LoadRun

_PAUSE_S = 1.5


async def freeze_connections(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Repeatedly freeze the open connections of a random database."""
    run.details["freezes"] = 0
    while True:
        await anyio.sleep(_PAUSE_S)
        rng.choice(site.group.databases).freeze()
        run.details["freezes"] += 1
