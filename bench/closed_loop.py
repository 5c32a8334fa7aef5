"""Closed-loop load: each caller sends its next request after the last answer."""

from dataclasses import dataclass
from datetime import timedelta

import anyio

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.load.latencies import Latencies
from goldcrestpond.settings.address import Address

from .child_process import ChildProcess
from .raw_caller import RawCaller, open_caller

_MAX_CONCURRENT_OPENS = 200


@dataclass(slots=True)
class LoopResult:
    """Measured throughput, latency and processor time of one closed loop.

    Attributes
    ----------
    statements_per_s : float
        Statements answered per second.
    p50_ms, p99_ms : float
        Median and 99th percentile of the latency.
    cpu_us : dict of str to float
        Processor time per statement by the name of the process.
    """

    statements_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: dict[str, float]


async def open_callers(address: Address, database: str, count: int) -> list[RawCaller]:
    """Open ``count`` sessions, with a bounded number of them opening at once."""
    limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_OPENS)
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
    """Let each caller send ``frame`` over and over until ``duration`` has passed.

    Parameters
    ----------
    callers : list of RawCaller
        Open sessions.
    frame : bytes
        Request that is repeated.
    duration : timedelta
        Time after which no further request is sent.
    processes : dict of str to ChildProcess
        Processes whose processor time is measured, by name.
    """
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

    cpu_s_at_start = {name: process.cpu_s() for name, process in processes.items()}
    started = clock.now()
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(repeat, caller)
    elapsed_s = (clock.now() - started).total_seconds()
    count = latencies.count
    cpu_s = {
        name: process.cpu_s() - cpu_s_at_start[name]
        for name, process in processes.items()
    }
    return LoopResult(
        statements_per_s=round(count / elapsed_s, 1),
        p50_ms=latencies.percentile_ms(50),
        p99_ms=latencies.percentile_ms(99),
        cpu_us={name: round(each / count * 1e6, 1) for name, each in cpu_s.items()},
    )
