"""Scenario of the demo."""

import random
from dataclasses import replace

import anyio

from ..load.failures import fail_primary, kill
from ..load.load_run import LoadRun
from ..load.scenario import Scenario
from ..load.scenarios import make_scenarios
from ..load.workload import Workload
from ..root.local_site import LocalSite

PROXY_COUNT = 2
_BEFORE_FAILURE_S = 2.0


def make_demo_scenario(seed: int) -> Scenario:
    """Return the ``palermo`` scenario on two proxies; the primary is killed once."""
    palermo = make_scenarios(seed, duration_s=0.0)["palermo"]
    return Scenario(
        site=replace(palermo.site, proxy_count=PROXY_COUNT),
        workload=Workload(roam_share=0.1),
        script=_kill_primary_once,
    )


async def _kill_primary_once(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    await anyio.sleep(_BEFORE_FAILURE_S)
    await fail_primary(site, run, kill)
