"""Random faults of databases and of the platform's store."""

import random

import anyio

from ..root.local_site import LocalSite
from ..standin.database_server import DatabaseServer
from .failures import cut_from_all, cut_from_peers, end_faults, kill
from .load_run import LoadRun

_PAUSE_S = 1.0
_LAG_MS = 1500.0


def _freeze(site: LocalSite, server: DatabaseServer) -> None:
    server.freeze()


def _refuse(site: LocalSite, server: DatabaseServer) -> None:
    server.faults.refuse = True


def _hang(site: LocalSite, server: DatabaseServer) -> None:
    server.faults.hang = True
    server.freeze()


def _lose_answers(site: LocalSite, server: DatabaseServer) -> None:
    server.faults.lose_answer = 5


def _cut_answers(site: LocalSite, server: DatabaseServer) -> None:
    server.faults.cut = 5


def _lag(site: LocalSite, server: DatabaseServer) -> None:
    for replica in site.group.databases:
        replica.faults.replay_lag_ms = _LAG_MS


def _platform_down(site: LocalSite, server: DatabaseServer) -> None:
    site.platform.faults.down = True


def _platform_slow(site: LocalSite, server: DatabaseServer) -> None:
    site.platform.faults.delay_ms = 500


def _platform_loses_answers(site: LocalSite, server: DatabaseServer) -> None:
    site.platform.faults.lose_next_answers = 5


_FAULTS = (
    kill,
    cut_from_peers,
    cut_from_all,
    _freeze,
    _refuse,
    _hang,
    _lose_answers,
    _cut_answers,
    _lag,
    _platform_down,
    _platform_slow,
    _platform_loses_answers,
)


def make_random_faults(count_at_once: int, duration_s: float = 2.0):
    """Return a script that repeatedly causes ``count_at_once`` overlapping faults.

    The faults are ended ``duration_s`` after the last of them was set.
    """

    async def cause(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
        lags = [server.faults.replay_lag_ms for server in site.group.databases]
        while True:
            await anyio.sleep(_PAUSE_S)
            for fault in rng.sample(_FAULTS, count_at_once):
                is_primary = rng.random() < 0.7
                server = site.group.primary()
                if not is_primary:
                    server = rng.choice(site.group.databases)
                fault(site, server)
                await anyio.sleep(rng.random() * duration_s / 4)
            await anyio.sleep(duration_s)
            await end_faults(site)
            for server, lag in zip(site.group.databases, lags, strict=True):
                server.faults.replay_lag_ms = lag

    return cause
