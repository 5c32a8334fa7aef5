"""Failures of a primary, caused in a running site."""

import random

import anyio

from ..group.role import Role
from ..root.local_site import LocalSite
from ..standin.database_server import DatabaseServer
from .load_run import LoadRun

_POLL_S = 0.005
_GAP_LIMIT_S = 20.0
_QUIET_S = 1.5
_OUTAGE_S = 0.5


async def fail_primaries(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
    """Fail one primary after another until the run is over.

    Each is killed, or cut off from its peers, or from peers and callers; it
    comes back once writes are accepted again.
    """
    await anyio.sleep(_QUIET_S)
    while not run.is_over:
        await fail_primary_once(site, run, rng.choice(FAILURES))
        await anyio.sleep(_QUIET_S)


async def fail_primary_once(site: LocalSite, run: LoadRun, failure) -> None:
    """Cause one failure, wait for the next primary and let the old one return."""
    primary = site.group.primary()
    run.write_gap.fail(primary.database.term, run.clock.now())
    failure(site, primary)
    with anyio.move_on_after(_GAP_LIMIT_S):
        while run.write_gap.is_open and not run.is_over:
            await anyio.sleep(_POLL_S)
    await anyio.sleep(_OUTAGE_S)
    await heal(site, primary)


def kill(site: LocalSite, primary: DatabaseServer) -> None:
    """Stop the primary."""
    site.group.kill(primary.name)


def cut_from_peers(site: LocalSite, primary: DatabaseServer) -> None:
    """Cut the primary off from its replicas; callers still reach it."""
    site.group.partition(primary.name, peers=True)


def cut_from_all(site: LocalSite, primary: DatabaseServer) -> None:
    """Cut the primary off from its replicas and from all callers."""
    site.group.partition(primary.name, peers=True, callers=True)


FAILURES = (kill, cut_from_all)


async def heal(site: LocalSite, server: DatabaseServer) -> None:
    """Bring a database back and wait, for a while, until it follows."""
    site.group.partition(server.name, peers=False, callers=False)
    if not server.is_running:
        await site.group.restart(server.name)
    with anyio.move_on_after(_GAP_LIMIT_S):
        while server.database.role is Role.PRIMARY:
            if site.group.primary() is server:
                return
            await anyio.sleep(_POLL_S)
