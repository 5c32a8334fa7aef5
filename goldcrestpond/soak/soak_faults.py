"""Faults that a soak causes at random; they may overlap."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from ..group.role import Role
from .fault_proxy import LinkFaults
from .soak_site import DATABASES, SHUTDOWN_GRACE_S, SoakSite

DELAY_S = 0.05
Fault = Callable[[SoakSite, random.Random], Awaitable[None]]


async def kill_instance(site: SoakSite, rng: random.Random) -> None:
    """Kill an instance and start it again."""
    instance = rng.choice(site.instances)
    async with instance.restart_lock:
        instance.kill()
        await anyio.sleep(rng.uniform(0.1, 1))
        instance.start()


async def stop_instance(site: SoakSite, rng: random.Random) -> None:
    """Stop an instance gracefully and start it again."""
    instance = rng.choice(site.instances)
    async with instance.restart_lock:
        instance.send_signal(signal.SIGTERM)
        await anyio.sleep(SHUTDOWN_GRACE_S + 0.5)
        instance.kill()
        instance.start()


async def pause_instance(site: SoakSite, rng: random.Random) -> None:
    """Pause the process of an instance for a while."""
    instance = rng.choice(site.instances)
    instance.send_signal(signal.SIGSTOP)
    await anyio.sleep(rng.uniform(0.5, 3))
    instance.send_signal(signal.SIGCONT)


async def reload_instance(site: SoakSite, rng: random.Random) -> None:
    """Make an instance reload its settings."""
    rng.choice(site.instances).send_signal(signal.SIGHUP)


async def crash_leader(site: SoakSite, rng: random.Random) -> None:
    """Crash the leader and restart it with its log."""
    database = site.group.primary
    await site.servers.crash(database.database_id)
    site.write_registry()
    await anyio.sleep(rng.uniform(2, 5))
    database.is_running = True
    site.group.replicate()
    site.write_registry()


async def drain_leader(site: SoakSite, rng: random.Random) -> None:
    """Mark the leader as draining in the registry for a while."""
    site.write_registry(draining=site.group.primary.database_id)
    await anyio.sleep(rng.uniform(2, 4))
    site.write_registry()


async def lag_replica(site: SoakSite, rng: random.Random) -> None:
    """Make a replica receive log entries without applying them for a while."""
    replicas = [
        database
        for database in site.group.databases.values()
        if database.role is Role.REPLICA
    ]
    replica = rng.choice(replicas)
    replica.is_replay_paused = True
    await anyio.sleep(rng.uniform(0.5, 3))
    replica.is_replay_paused = False
    site.group.replicate()


async def harm_database_link(site: SoakSite, rng: random.Random) -> None:
    """Delay, reset, silence or cut the connections to one database."""
    link = site.database_links[rng.choice(DATABASES)]
    await _disturb_link(link, rng)


async def harm_store_link(site: SoakSite, rng: random.Random) -> None:
    """Delay, reset, silence or cut one instance's connections to the store."""
    await _disturb_link(site.store_links[rng.choice(site.instances).name], rng)


async def stop_store(site: SoakSite, rng: random.Random) -> None:
    """Make the store refuse all requests for a while."""
    site.platform.is_down = True
    await anyio.sleep(rng.uniform(0.5, 3))
    site.platform.is_down = False


async def return_store_from_copy(site: SoakSite, rng: random.Random) -> None:
    """Restore the store from an older copy; lost rows are then written again."""
    platform = site.platform
    platform.save_snapshot()
    await anyio.sleep(rng.uniform(0.5, 4))
    platform.is_down = True
    await anyio.sleep(rng.uniform(0, 1))
    rows = platform.restore_snapshot()
    platform.is_down = False
    await anyio.sleep(rng.uniform(0, 0.5))
    for (table, key), value in rows.items():
        platform.put(table, key, value)


async def lose_store_answers(site: SoakSite, rng: random.Random) -> None:
    """Lose some of the store's answers for a while, then discard its change history."""
    site.platform.should_lose_answer = lambda path: rng.random() < 0.3
    await anyio.sleep(rng.uniform(0.5, 2))
    site.platform.should_lose_answer = lambda path: False
    site.platform.discard_history()


async def lose_answers(site: SoakSite, rng: random.Random) -> None:
    """Make databases run some statements without answering them."""
    site.servers.should_lose_answer = lambda text: rng.random() < 0.05
    await anyio.sleep(rng.uniform(0.5, 2))
    site.servers.should_lose_answer = lambda text: False


async def change_configuration(site: SoakSite, rng: random.Random) -> None:
    """Put up to five configuration versions in force in quick succession."""
    for _ in range(rng.randint(1, 5)):
        site.put_next_configuration()
        await anyio.sleep(0.1)


FAULTS: tuple[Fault, ...] = (
    kill_instance,
    stop_instance,
    pause_instance,
    reload_instance,
    crash_leader,
    drain_leader,
    lag_replica,
    harm_database_link,
    harm_store_link,
    stop_store,
    return_store_from_copy,
    lose_store_answers,
    lose_answers,
    change_configuration,
)


async def _disturb_link(link, rng: random.Random) -> None:
    kind = rng.choice(["delay", "reset", "silence", "requests", "answers", "both"])
    match kind:
        case "reset":
            await link.reset_connections()
        case "silence":
            link.silence_connections()
        case "delay":
            link.faults = LinkFaults(delay_s=DELAY_S)
        case _:
            link.faults = LinkFaults(
                drops_requests=kind in ("requests", "both"),
                drops_answers=kind in ("answers", "both"),
            )
    await anyio.sleep(rng.uniform(0.5, 3))
    link.faults = LinkFaults()
    if kind in ("requests", "answers", "both"):
        # A stream that has lost bytes cannot continue.
        await link.reset_connections()
