"""Runs a scenario and audits the result."""

import math
import random
from collections.abc import Sequence
from datetime import timedelta

import anyio
import psycopg

from ..clock.clock import Clock
from ..root.local_site import LocalSite, run_local_site
from ..settings.address import Address
from . import fuel_log
from .audit import Audit
from .failures import end_faults
from .fuel_session import FuelSession
from .load_result import LoadResult
from .load_run import LoadRun
from .planner_session import PlannerSession
from .roaming_connection import RoamingConnection
from .scenario import Scenario
from .workload import Workload

_MAX_REQUEST_WAIT_S = 30.0  # longer than every deadline of a request
_DIRECT_WRITE_PAUSE_S = 0.02


async def run_scenario(
    name: str, scenario: Scenario, seed: int, duration_s: float, clock: Clock
) -> LoadResult:
    """Run a scenario and return its figures.

    The load lasts ``duration_s``, or until the script returns if
    ``scenario.ends_with_script`` is set.
    """
    rng = random.Random(seed)
    run = LoadRun(clock)
    async with run_local_site(scenario.site) as site:
        addresses = [proxy.address for proxy in site.proxies]
        started = clock.now()
        async with anyio.create_task_group() as background:
            if scenario.measures_direct_writes:
                background.start_soon(_measure_direct_writes, site, run)
            async with anyio.create_task_group() as sessions:
                start_sessions(
                    sessions,
                    addresses,
                    scenario.site.group,
                    scenario.workload,
                    run,
                    rng,
                )
                limit_s = math.inf if scenario.ends_with_script else duration_s
                with anyio.move_on_after(limit_s):
                    await scenario.script(site, run, rng)
                    if not scenario.ends_with_script:
                        await anyio.sleep_forever()
                await end_faults(site)
                run.is_over = True
                sessions.cancel_scope.deadline = (
                    anyio.current_time() + _MAX_REQUEST_WAIT_S
                )
            duration = clock.now() - started
            background.cancel_scope.cancel()
        audit = await audit_site(site, run)
    return make_result(name, seed, duration, run, audit)


def start_sessions(
    tasks: anyio.abc.TaskGroup,
    addresses: Sequence[Address],
    database: str,
    workload: Workload,
    run: LoadRun,
    rng: random.Random,
) -> None:
    """Start the sessions of a workload; they end when the run is over."""
    for index in range(workload.writer_count):
        session_rng = random.Random(rng.random())
        name = f"pump-{index}"
        session = FuelSession(name, addresses, database, workload, run, session_rng)
        tasks.start_soon(session.work)
    for _ in range(workload.planner_count):
        session_rng = random.Random(rng.random())
        planner = PlannerSession(addresses, database, workload, run, session_rng)
        tasks.start_soon(planner.work)


async def audit_site(site: LocalSite, run: LoadRun) -> Audit:
    """Compare the recorded writes with the rows and the log of the primary."""
    primary = await site.group.wait_primary()
    roaming = RoamingConnection([primary.address], "fuel", random.Random(0), {})
    connection = await roaming.get_open_connection()
    cursor = await connection.execute(fuel_log.READ_ALL)
    rows = await cursor.fetchall()
    await roaming.close()
    log_terms = [entry.term for entry in primary.database.log]
    return run.auditor.compare(rows, log_terms)


async def _measure_direct_writes(site: LocalSite, run: LoadRun) -> None:
    """Measure the latency of writes over a direct connection to the primary."""
    number = 0
    while True:
        writers = [
            server.address
            for server in site.group.databases
            if server.database.writable
        ]
        if not writers:
            await anyio.sleep(_DIRECT_WRITE_PAUSE_S)
            continue
        roaming = RoamingConnection(
            [site.group.primary().address], "fuel", random.Random(0), {}
        )
        try:
            connection = await roaming.get_open_connection()
            while not connection.closed:
                number += 1
                started = run.clock.now()
                await connection.execute(fuel_log.PROBE, (number,))
                run.direct_latencies.record(run.clock.now() - started)
                await anyio.sleep(_DIRECT_WRITE_PAUSE_S)
        except (psycopg.Error, ValueError):
            await anyio.sleep(_DIRECT_WRITE_PAUSE_S)
        finally:
            await roaming.close()


def make_result(
    name: str, seed: int, duration: timedelta, run: LoadRun, audit: Audit
) -> LoadResult:
    """Return the figures of a run that is over."""
    gap = run.write_gap
    refusals = run.refusals_by_number
    run.details["longest_pause_ms"] = run.compute_longest_pause_ms()
    if run.aged_read_count:
        share = run.replica_aged_read_count / run.aged_read_count
        run.details["aged_replica_read_share"] = share
    answered = audit.acknowledged + run.read_count
    return LoadResult(
        scenario=name,
        seed=seed,
        duration_s=round(duration.total_seconds(), 3),
        acknowledged=audit.acknowledged,
        lost=audit.lost,
        doubled=audit.doubled,
        stale_reads=run.auditor.stale_reads,
        not_run_but_ran=audit.not_run_but_ran,
        unknown=audit.unknown,
        refused=audit.refused + run.refused_reads + run.unsent_requests,
        replica_read_share=round(run.replica_read_count / max(run.read_count, 1), 4),
        failover_gap_ms=-1.0 if gap.is_open else round(gap.longest_ms, 1),
        p50_ms=run.write_latencies.percentile_ms(50),
        p99_ms=run.write_latencies.percentile_ms(99),
        direct_p50_ms=run.direct_latencies.percentile_ms(50),
        statements_per_s=round(answered / duration.total_seconds(), 1),
        torn=audit.torn,
        crossed_reads=run.auditor.crossed_reads,
        acknowledged_by_replaced=audit.acknowledged_by_replaced,
        unrequested=audit.unrequested,
        reverts=run.reverts,
        changes_lost_or_doubled=run.changes_lost_or_doubled,
        reads=run.read_count,
        read_p50_ms=run.read_latencies.percentile_ms(50),
        read_p99_ms=run.read_latencies.percentile_ms(99),
        gaps_ms=[round(length / timedelta(milliseconds=1), 1) for length in gap.gaps],
        refusals={str(key): refusals[key] for key in sorted(refusals)},
        details={key: round(value, 3) for key, value in run.details.items()},
    )
