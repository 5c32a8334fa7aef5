"""Causes failures of the primary in a running site."""

import random
from collections.abc import Callable, Sequence

import anyio

from ..root.local_site import LocalSite
from ..standin.database_server import DatabaseServer
from .load_run import LoadRun

_POLL_S = 0.005
_MAX_GAP_WAIT_S = 20.0
_PAUSE_S = 1.5
_OUTAGE_S = 0.5

Failure = Callable[[LocalSite, DatabaseServer], None]


def kill(site: LocalSite, primary: DatabaseServer) -> None:
    """Stop the primary."""
    site.group.kill(primary.name)


def cut_from_peers(site: LocalSite, primary: DatabaseServer) -> None:
    """Cut the primary off from its replicas; callers still reach it."""
    site.group.partition(primary.name, peers=True)


def cut_from_all(site: LocalSite, primary: DatabaseServer) -> None:
    """Cut the primary off from its replicas and from all callers."""
    site.group.partition(primary.name, peers=True, callers=True)


FAILURES = (kill, cut_from_peers, cut_from_all)


async def fail_primaries(
    site: LocalSite,
    run: LoadRun,
    rng: random.Random,
    failures: Sequence[Failure] = FAILURES,
) -> None:
    """Fail one primary after another until the run is over.

    A failed primary returns after writes are accepted again.
    """
    for index in range(1_000_000):
        await anyio.sleep(_PAUSE_S)
        failure = failures[index % len(failures)]
        await fail_primary(site, run, failure)


async def fail_primary(site: LocalSite, run: LoadRun, failure: Failure) -> None:
    """Cause one failure, wait until writes are accepted and restore the old primary."""
    primary = await site.group.wait_primary()
    run.write_gap.record_failure(primary.database.term, run.clock.now())
    failure(site, primary)
    count = len(run.write_gap.gaps)
    with anyio.move_on_after(_MAX_GAP_WAIT_S):
        while run.write_gap.is_open:
            await anyio.sleep(_POLL_S)
    if len(run.write_gap.gaps) > count:
        gap_ms = run.write_gap.gaps[-1].total_seconds() * 1000
        key = f"{failure.__name__}_gap_ms"
        run.details[key] = max(gap_ms, run.details.get(key, 0.0))
    await anyio.sleep(_OUTAGE_S)
    await heal(site, primary)


async def heal(site: LocalSite, server: DatabaseServer) -> None:
    """Reconnect a database and restart it."""
    site.group.partition(server.name, peers=False, callers=False)
    await site.group.restart(server.name)


async def end_faults(site: LocalSite) -> None:
    """End all faults and restart all databases, so that the audit can read them."""
    faults = site.platform.faults
    faults.down = faults.silent = False
    faults.delay_ms = faults.lose_next_answers = 0
    for server in site.group.databases:
        server.faults.refuse = server.faults.hang = False
        server.faults.lose_answer = server.faults.cut = 0
        await heal(site, server)
