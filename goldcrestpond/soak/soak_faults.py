"""Faults that a soak causes at random; they may overlap."""

import random
import signal
from collections.abc import Awaitable, Callable

import anyio

from .database_faults import (
    RANDOM_FAULT,
    crash_primary,
    crash_receiving_replica,
    crash_replica,
    cut_candidate,
    cut_primary,
    drain_primary,
    isolate_candidate,
    isolate_replica,
    lag_replica,
    lose_receiving_replica,
    lose_replica,
    pick_service,
    release_databases,
    release_primary,
    release_replica,
    wait_out,
)
from .fault_proxy import LinkFaults
from .instance_process import InstanceProcess
from .soak_plan import PlannedFault
from .soak_site import SHUTDOWN_GRACE_S, SoakSite

DELAY_S = 0.05
# A failover call that got no answer is executed after a time between these.
_SHORTEST_ORDER_DELAY_S = 2.0
_LONGEST_ORDER_DELAY_S = 12.0
_CLAIM_WAIT_S = 10.0
_CLAIM_POLL_S = 0.005
Fault = Callable[[SoakSite, random.Random, PlannedFault], Awaitable[None]]


async def kill_instance(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Kill an instance and start it again."""
    await _kill_for(rng.choice(site.instances), fault.duration_s(rng, 0.1, 1))


async def kill_promoter(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Kill the instance that gave the last failover order, and start it again."""
    orders = [
        order
        for order in site.platform.failover.orders
        if fault.service in ("", order.service)
    ]
    holder = orders[-1].holder if orders else ""
    for instance in site.instances:
        if instance.name == holder:
            site.log.decision("instance killed", instance=holder)
            await _kill_for(instance, fault.duration_s(rng, 0.1, 1))


async def kill_claimant(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Kill the next instance that pauses a replica, before it resumes it."""
    service = pick_service(site, rng, fault)
    with anyio.move_on_after(_CLAIM_WAIT_S):
        while not any(d.paused_term for d in service.running_replicas()):
            await anyio.sleep(_CLAIM_POLL_S)
        holder = site.find_claimant(service.name)
        for instance in site.instances:
            if instance.name == holder:
                site.log.decision("instance killed", instance=holder)
                await _kill_for(instance, fault.duration_s(rng, 0.1, 1))


async def kill_all_instances(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Kill all instances at once and start them again."""
    duration_s = fault.duration_s(rng, 0.5, 1.5)
    site.log.decision("all instances killed")
    async with anyio.create_task_group() as tasks:
        for instance in site.instances:
            tasks.start_soon(_kill_for, instance, duration_s)


async def stop_instance(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Stop an instance gracefully and start it again."""
    instance = rng.choice(site.instances)
    async with instance.restart_lock:
        instance.is_stopping = True
        instance.send_signal(signal.SIGTERM)
        await anyio.sleep(SHUTDOWN_GRACE_S + 0.5)
        instance.is_stopping = False
        instance.send_kill()
        await instance.wait_stopped()
        instance.start()


async def pause_instance(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Pause the processes of some instances for a while."""
    paused = rng.sample(site.instances, min(fault.count, len(site.instances)))
    for instance in paused:
        instance.is_stopping = False  # it may have no time to answer
        instance.send_signal(signal.SIGSTOP)
    await wait_out(site, rng, fault, 0.5, 3)
    for instance in paused:
        instance.send_signal(signal.SIGCONT)


async def delay_orders(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Leave a part of the failover calls unanswered, and execute them later."""
    failover = site.platform.failover

    def draw_delay_s() -> float:
        if rng.random() >= fault.share:
            return 0.0
        return rng.uniform(_SHORTEST_ORDER_DELAY_S, _LONGEST_ORDER_DELAY_S)

    failover.draw_execution_delay_s = draw_delay_s
    await wait_out(site, rng, fault, 2, 5)
    if failover.draw_execution_delay_s is draw_delay_s:
        failover.draw_execution_delay_s = lambda: 0.0


async def reload_instance(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Make an instance reload its settings."""
    rng.choice(site.instances).send_signal(signal.SIGHUP)


async def harm_database_link(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Delay, reset, silence or cut the connections to one database."""
    service = pick_service(site, rng, fault)
    running = service.running_databases()
    if running:
        await _disturb_link(service.links[rng.choice(running).database_id], rng)


async def harm_store_link(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Delay, reset, silence or cut one instance's connections to the store."""
    await _disturb_link(site.store_links[rng.choice(site.instances).name], rng)


async def stop_store(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Make the store refuse all requests for a while."""
    site.platform.is_down = True
    await anyio.sleep(rng.uniform(0.5, 3))
    site.platform.is_down = False


async def return_store_from_copy(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
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


async def lose_store_answers(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Lose some of the store's answers for a while, then discard its change history."""
    site.platform.should_lose_answer = lambda path: rng.random() < 0.3
    await anyio.sleep(rng.uniform(0.5, 2))
    site.platform.should_lose_answer = lambda path: False
    site.platform.discard_history()


async def lose_answers(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Make databases run some statements without answering them."""
    for service in site.services:
        service.servers.should_lose_answer = lambda text: rng.random() < 0.05
    await anyio.sleep(rng.uniform(0.5, 2))
    for service in site.services:
        service.servers.should_lose_answer = lambda text: False


async def change_configuration(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Put up to five configuration versions in force in quick succession."""
    for _ in range(rng.randint(1, 5)):
        site.put_next_configuration()
        await anyio.sleep(0.1)


# Faults of which one may be drawn at any time.
SINGLE_FAULTS: tuple[Fault, ...] = (
    kill_instance,
    stop_instance,
    pause_instance,
    reload_instance,
    crash_primary,
    drain_primary,
    lag_replica,
    harm_database_link,
    harm_store_link,
    stop_store,
    return_store_from_copy,
    lose_store_answers,
    lose_answers,
    change_configuration,
)
FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        *SINGLE_FAULTS,
        kill_promoter,
        kill_all_instances,
        delay_orders,
        kill_claimant,
        crash_replica,
        crash_receiving_replica,
        lose_replica,
        lose_receiving_replica,
        isolate_candidate,
        isolate_replica,
        cut_candidate,
        cut_primary,
        release_primary,
        release_replica,
        release_databases,
    )
}


async def _kill_for(instance: InstanceProcess, duration_s: float) -> None:
    async with instance.restart_lock:
        instance.send_kill()
        await instance.wait_stopped()
        await anyio.sleep(duration_s)
        instance.start()


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
