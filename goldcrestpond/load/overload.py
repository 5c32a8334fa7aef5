"""Offers more writes than the endpoint can run."""

import random

import anyio

from ..root.local_site import LocalSite
from .fuel_session import FuelSession
from .load_run import LoadRun
from .workload import Workload

_CLOSED_LOOP_WRITER_COUNT = 20
_OFFERED_TO_PEAK_RATIO = 2.0
_MAX_SESSION_COUNT = 600
_WRITES_ONLY = Workload(write_share=1.0, transaction_share=0.0, roam_share=0.0)


def make_overload(duration_s: float):
    """Return a script that measures the peak rate, then offers twice that rate."""

    async def overload(site: LocalSite, run: LoadRun, rng: random.Random) -> None:
        run.details["peak_per_s"] = await _measure_peak(
            site, run, rng, duration_s * 0.4
        )
        offered_per_s = run.details["peak_per_s"] * _OFFERED_TO_PEAK_RATIO
        await anyio.sleep(0.5)
        await _offer_writes(site, run, rng, duration_s * 0.5, offered_per_s)
        goodput_per_s = run.details["overload_acknowledged"] / (duration_s * 0.5)
        run.details["goodput_per_s"] = goodput_per_s
        run.details["goodput_ratio"] = goodput_per_s / run.details["peak_per_s"]

    return overload


def _make_session(site: LocalSite, run: LoadRun, rng: random.Random, name: str):
    addresses = [proxy.address for proxy in site.proxies]
    session_rng = random.Random(rng.random())
    return FuelSession(name, addresses, "fuel", _WRITES_ONLY, run, session_rng)


async def _measure_peak(
    site: LocalSite, run: LoadRun, rng: random.Random, duration_s: float
) -> float:
    async def write_repeatedly(session: FuelSession) -> None:
        while True:
            await session.write()

    run.start_phase()
    with anyio.move_on_after(duration_s):
        async with anyio.create_task_group() as tasks:
            for index in range(_CLOSED_LOOP_WRITER_COUNT):
                session = _make_session(site, run, rng, f"closed-{index}")
                tasks.start_soon(write_repeatedly, session)
    run.end_phase("peak")
    return run.details["peak_acknowledged"] / duration_s


async def _offer_writes(
    site: LocalSite,
    run: LoadRun,
    rng: random.Random,
    duration_s: float,
    rate_per_s: float,
) -> None:
    idle_sessions: list[FuelSession] = []
    run.details["offered"] = 0
    run.details["sessions"] = 0

    async def write_once(session: FuelSession) -> None:
        await session.write()
        idle_sessions.append(session)

    run.start_phase()
    next_at = anyio.current_time()
    end = next_at + duration_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end:
            next_at += rng.expovariate(rate_per_s)
            await anyio.sleep(max(0.0, next_at - anyio.current_time()))
            run.details["offered"] += 1
            if not idle_sessions and run.details["sessions"] < _MAX_SESSION_COUNT:
                run.details["sessions"] += 1
                name = f"open-{run.details['sessions']}"
                idle_sessions.append(_make_session(site, run, rng, name))
            if idle_sessions:
                tasks.start_soon(write_once, idle_sessions.pop())
        run.details["offered_per_s"] = run.details["offered"] / duration_s
        run.end_phase("overload")
