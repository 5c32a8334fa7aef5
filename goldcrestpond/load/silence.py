"""Open connections that go silent for good while new ones work."""

import random

import anyio

from ..root.local_site import LocalSite
from .load_run import LoadRun

_PAUSE_S = 1.5


async def freeze_connections(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Freeze the open connections of one database after another."""
    run.details["freezes"] = 0
    while True:
        await anyio.sleep(_PAUSE_S)
        rng.choice(site.group.databases).freeze()
        run.details["freezes"] += 1
