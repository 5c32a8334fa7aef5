"""A scenario: a site, its callers and what goes wrong."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..root.local_site import LocalSite
from ..root.local_site_settings import LocalSiteSettings
from .load_run import LoadRun
from .workload import Workload


async def nothing_happens(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Script without faults."""


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
    """

    site: LocalSiteSettings
    workload: Workload = field(default_factory=Workload)
    script: Callable[[LocalSite, LoadRun, random.Random], Awaitable[None]] = (
        nothing_happens
    )
