"""Operators that change the same routes concurrently."""

import random

import anyio

from ..configuration.keys import resource_key
from ..configuration.kind import Kind
from ..configuration.route_spec import RouteSpec
from ..configuration.stored_resource import encode_resource_row
from ..errors.coded_error import CodedError
from ..root.local_site import LocalSite
from ..store.http_platform import HttpPlatform
from ..store.platform_conflict import PlatformConflict
from .latencies import Latencies
from .load_run import LoadRun

_OPERATOR_COUNT = 4
_ROUTE_COUNT = 2
_PAUSE_S = 0.1
_POLL_S = 0.005
_MAX_IN_FORCE_WAIT_S = 10.0


async def change_configuration(
    site: LocalSite, run: LoadRun, rng: random.Random
) -> None:
    """Change routes concurrently; measure until each change is in force everywhere."""
    latencies = Latencies()
    details = run.details
    details.update(changes=0, conflicts=0, reverts=0, late=0)
    try:
        async with anyio.create_task_group() as tasks:
            for proxy in site.proxies:
                tasks.start_soon(_count_reverts, proxy.configuration, run)
            for _ in range(_OPERATOR_COUNT):
                operator_rng = random.Random(rng.random())
                tasks.start_soon(_run_operator, site, run, operator_rng, latencies)
    finally:
        details["in_force_p50_ms"] = latencies.percentile_ms(50)
        details["in_force_p99_ms"] = latencies.percentile_ms(99)


async def _run_operator(
    site: LocalSite, run: LoadRun, rng: random.Random, latencies: Latencies
) -> None:
    async with HttpPlatform(site.platform.address) as platform:
        while True:
            await anyio.sleep(rng.expovariate(1 / _PAUSE_S))
            name = f"desk-{rng.randrange(_ROUTE_COUNT)}"
            spec = RouteSpec(name, "fuel", queue_timeout_ms=rng.randrange(100, 5000))
            try:
                revision = await _put_route(platform, name, spec)
            except PlatformConflict:
                run.details["conflicts"] += 1
                continue
            except CodedError:
                continue
            run.details["changes"] += 1
            await _wait_in_force(site, run, revision, latencies)


async def _put_route(platform: HttpPlatform, name: str, spec: RouteSpec) -> int:
    key = resource_key(Kind.ROUTE, name)
    row = await platform.read(key)
    current_revision = row.revision if row else 0
    return await platform.put(
        key, encode_resource_row(spec, current_revision + 1), current_revision
    )


async def _wait_in_force(
    site: LocalSite, run: LoadRun, revision: int, latencies: Latencies
) -> None:
    started = run.clock.now()
    with anyio.move_on_after(_MAX_IN_FORCE_WAIT_S) as scope:
        for proxy in site.proxies:
            await proxy.configuration.wait_revision(revision)
    run.details["late"] += scope.cancelled_caught
    latencies.record(run.clock.now() - started)


async def _count_reverts(configuration: object, run: LoadRun) -> None:
    """Count how often the revision that a proxy applies goes back."""
    highest = 0
    while True:
        revision = configuration.current.revision
        run.details["reverts"] += revision < highest
        highest = max(highest, revision)
        await anyio.sleep(_POLL_S)
