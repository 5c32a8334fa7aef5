"""Faults that a soak causes at the databases of a service."""

import random

import anyio

from ..standin.line_group import LineDatabase
from .soak_plan import PlannedFault
from .soak_service import COPY_S, SoakService
from .soak_site import SoakSite
from .socket_owner import find_owner

# The instances stop sending to a draining database before (setting drain_limit_ms).
SHORTEST_DRAIN_S = 7.2
_RELEASE_GAP_S = 1.5
RANDOM_FAULT = PlannedFault(kind="random")


def pick_service(
    site: SoakSite, rng: random.Random, fault: PlannedFault
) -> SoakService:
    """Return the service that a fault strikes."""
    return site.find_service(fault.service) or rng.choice(site.services)


async def wait_out(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    shortest_s: float,
    longest_s: float,
) -> None:
    """Wait until a fault ends, by default after a random time."""
    with anyio.move_on_after(fault.duration_s(rng, shortest_s, longest_s)):
        if fault.until_order_s is None:
            await anyio.sleep_forever()
        await site.wait_for_order(fault.service)
        await anyio.sleep(fault.until_order_s)


async def crash_primary(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Crash the primary; it returns under a new id, with its log."""
    service = pick_service(site, rng, fault)
    await _crash(site, rng, fault, service, service.running_primary())


async def crash_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Crash a replica; it returns under a new id, with its log."""
    service = pick_service(site, rng, fault)
    replica = _pick_replica(service, rng)
    await _crash(site, rng, fault, service, replica)


async def crash_receiving_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Crash a replica that receives commits; it returns as others do."""
    service = pick_service(site, rng, fault)
    replica = _pick_replica(service, rng, is_receiving=True)
    await _crash(site, rng, fault, service, replica)


async def lose_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Crash a replica for good; a new one replaces it after the duration."""
    service = pick_service(site, rng, fault)
    await _lose(site, rng, fault, service, _pick_replica(service, rng))


async def lose_receiving_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Crash a replica that receives commits for good; a new one replaces it."""
    service = pick_service(site, rng, fault)
    replica = _pick_replica(service, rng, is_receiving=True)
    await _lose(site, rng, fault, service, replica)


async def isolate_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Keep a replica from receiving anything for a while."""
    service = pick_service(site, rng, fault)
    await _isolate(site, rng, fault, service, _pick_replica(service, rng))


async def isolate_candidate(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Keep the replica that the last failover call named from receiving anything."""
    service = pick_service(site, rng, fault)
    await _isolate(site, rng, fault, service, _find_candidate(site, service))


async def cut_primary(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Cut the primary off from a part of the instances for a while."""
    service = pick_service(site, rng, fault)
    await _cut(site, rng, fault, service, service.running_primary())


async def cut_candidate(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Cut off the replica that the last failover call named, as `cut_primary` does."""
    service = pick_service(site, rng, fault)
    await _cut(site, rng, fault, service, _find_candidate(site, service))


async def release_primary(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Replace the primary: a new replica starts, the primary drains and ends."""
    service = pick_service(site, rng, fault)
    await _release(site, rng, fault, service, service.running_primary())


async def release_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Replace a replica: a new one starts, the old one drains and ends."""
    service = pick_service(site, rng, fault)
    replica = _pick_replica(service, rng)
    await _release(site, rng, fault, service, replica)


async def release_databases(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Replace the databases of a service one after the other, the primary first."""
    service = pick_service(site, rng, fault)
    replaced = [service.running_primary(), _pick_replica(service, rng)]
    async with anyio.create_task_group() as tasks:
        for database in replaced:
            tasks.start_soon(_release, site, rng, fault, service, database, False)
            await anyio.sleep(_RELEASE_GAP_S)


async def lag_replica(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Make a replica receive log entries without applying them for a while."""
    service = pick_service(site, rng, fault)
    replica = _pick_replica(service, rng)
    if replica is None:
        return
    replica.is_replay_paused = True
    await wait_out(site, rng, fault, 0.5, 3)
    replica.is_replay_paused = False
    service.group.replicate()


async def drain_primary(
    site: SoakSite, rng: random.Random, fault: PlannedFault = RANDOM_FAULT
) -> None:
    """Mark the primary as draining in the registry for a while."""
    service = pick_service(site, rng, fault)
    primary = service.running_primary()
    if primary is None:
        return
    primary.is_draining = True
    service.write_entries()
    await wait_out(site, rng, fault, 2, 4)
    primary.is_draining = False
    service.write_entries()


def _pick_replica(
    service: SoakService, rng: random.Random, is_receiving: bool = False
) -> LineDatabase | None:
    replicas = [
        replica
        for replica in service.running_replicas()
        if not (is_receiving and (replica.is_cut_off or replica.paused_term))
    ]
    return rng.choice(replicas) if replicas else None


def _find_candidate(site: SoakSite, service: SoakService) -> LineDatabase | None:
    """Return the running replica that the service's last failover call named."""
    orders = [o for o in site.platform.failover.orders if o.service == service.name]
    named = orders[-1].database_id if orders else ""
    replicas = (r for r in service.running_replicas() if r.database_id == named)
    return next(replicas, None)


async def _cut(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    service: SoakService,
    database: LineDatabase | None,
) -> None:
    if database is None:
        return
    count = max(1, round(fault.share * len(site.instances)))
    cut = rng.sample(site.instances, min(count, len(site.instances)))
    names = sorted(instance.name for instance in cut)
    service.log("database cut off", database, instances=names)
    link = service.links[database.database_id]

    def is_cut(port: int) -> bool:
        # An instance that was started again during the cut is cut off too.
        return find_owner(port, [i.process_id for i in cut]) is not None

    link.silence_connections(is_cut)
    link.is_cut = is_cut
    await wait_out(site, rng, fault, 1, 5)
    link.is_cut = lambda port: False
    await link.reset_connections(is_silent_only=True)
    service.log("database within reach", database)


async def _crash(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    service: SoakService,
    database: LineDatabase | None,
) -> None:
    if database is None:
        return
    await service.crash(database)
    await wait_out(site, rng, fault, 2, 5)
    await service.restart(database)


async def _isolate(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    service: SoakService,
    replica: LineDatabase | None,
) -> None:
    if replica is None:
        return
    service.log("replica isolated", replica)
    replica.is_cut_off = True
    await wait_out(site, rng, fault, 1, 6)
    replica.is_cut_off = False
    service.group.replicate()
    service.log("replica reconnected", replica)


async def _lose(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    service: SoakService,
    database: LineDatabase | None,
) -> None:
    if database is None:
        return
    await service.crash(database)
    service.remove(database)
    await wait_out(site, rng, fault, 2, 6)
    await service.add_replica()


async def _release(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    service: SoakService,
    database: LineDatabase | None,
    is_listed_first: bool = True,
) -> None:
    if database is None:
        return
    await service.add_replica(is_listed_first)
    await anyio.sleep(COPY_S)
    if not database.is_running:
        return  # it crashed meanwhile, and returns under another id
    database.is_draining = True
    service.write_entries()
    service.log("database drains", database)
    await wait_out(site, rng, fault, SHORTEST_DRAIN_S, SHORTEST_DRAIN_S + 2)
    if database.is_running:
        await service.stop(database)
        service.remove(database)
