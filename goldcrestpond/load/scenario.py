"""A scenario: a site, its callers and what goes wrong."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from ..root.local_site import LocalSite
from ..root.local_site_settings import LocalSiteSettings
from .load_run import LoadRun
from .workload import Workload


async def run_without_faults(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Script without faults."""
    await anyio.sleep_forever()


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a run does.

    Attributes
    ----------
    site : LocalSiteSettings
        Site to run.
    workload : Workload
        Its callers.
    script : callable
        Causes faults while the run goes on, given site, run and randomness.
    ends_with_script : bool
        Whether the run is over when the script returns.
    measures_direct_writes : bool
        Whether direct writes are measured besides.
    """

    site: LocalSiteSettings
    workload: Workload = field(default_factory=Workload)
    script: Callable[[LocalSite, LoadRun, random.Random], Awaitable[None]] = (
        run_without_faults
    )
    ends_with_script: bool = False
    measures_direct_writes: bool = True
