"""Callers that each send a request, wait for its answer and go on."""

from dataclasses import dataclass
from datetime import timedelta

import anyio

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.load.latencies import Latencies
from goldcrestpond.settings.address import Address

from .child_process import ChildProcess
from .raw_caller import RawCaller, open_caller

_OPEN_AT_ONCE = 200


@dataclass(slots=True)
class LoopResult:
    """Figures of one closed loop.

    Attributes
    ----------
    statements_per_s : float
        Statements answered each second.
    p50_ms, p99_ms : float
        Latency.
    cpu_us : dict of str to float
        Processor time of each process for one statement.
    """

    statements_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: dict[str, float]


async def open_callers(address: Address, database: str, count: int) -> list[RawCaller]:
    """Open some sessions, a bounded number at once."""
    limiter = anyio.CapacityLimiter(_OPEN_AT_ONCE)
    callers: list[RawCaller] = []

    async def open_one() -> None:
        async with limiter:
            callers.append(await open_caller(address, database))

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(open_one)
    return callers


async def run_closed_loop(
    callers: list[RawCaller],
    frame: bytes,
    duration: timedelta,
    processes: dict[str, ChildProcess],
) -> LoopResult:
    """Run a closed loop for some time over open callers."""
    clock = SystemClock()
    latencies = Latencies()
    end = clock.now() + duration

    async def repeat(caller: RawCaller) -> None:
        now = clock.now()
        while now < end:
            await caller.request(frame)
            finished = clock.now()
            latencies.record(finished - now)
            now = finished

    before = {name: process.cpu_s() for name, process in processes.items()}
    started = clock.now()
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(repeat, caller)
    elapsed_s = (clock.now() - started).total_seconds()
    count = latencies.count
    used = {name: process.cpu_s() - before[name] for name, process in processes.items()}
    return LoopResult(
        statements_per_s=round(count / elapsed_s, 1),
        p50_ms=latencies.percentile_ms(50),
        p99_ms=latencies.percentile_ms(99),
        cpu_us={name: round(each / count * 1e6, 1) for name, each in used.items()},
    )
