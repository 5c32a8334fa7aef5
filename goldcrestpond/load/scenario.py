"""A scenario: a site, its callers and its faults."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from ..root.local_site import LocalSite
from ..root.local_site_settings import LocalSiteSettings
from .load_run import LoadRun
from .workload import Workload


async def run_without_faults(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Wait until the run is cancelled, without any faults."""
    await anyio.sleep_forever()


@dataclass(frozen=True, slots=True)
class Scenario:
    """Site, workload and fault script of a run.

    Attributes
    ----------
    site : LocalSiteSettings
        Settings of the site.
    workload : Workload
        Callers of the site.
    script : callable
        Causes faults during the run; called with the site, the run and a random
        number generator.
    ends_with_script : bool
        Whether the run ends when the script returns.
    measures_direct_writes : bool
        Whether writes over a direct connection are measured too.
    """

    site: LocalSiteSettings
    workload: Workload = field(default_factory=Workload)
    script: Callable[[LocalSite, LoadRun, random.Random], Awaitable[None]] = (
        run_without_faults
    )
    ends_with_script: bool = False
    measures_direct_writes: bool = True
