"""Measures a proxy with 1 to 10,000 callers, and its memory for idle callers.

``python -m bench.scaling [--counts 1,10,100,1000,10000] [--duration_s 2]`` prints
one JSON line. For each count, all callers are connected; at most ``--busy`` of them
send statements, and the rest are idle.
"""

import functools
from dataclasses import asdict
from datetime import timedelta

import anyio
import fire
import msgspec

from .bench_site import GROUP, BenchSite, run_bench_site
from .closed_loop import open_callers, run_closed_loop
from .raw_caller import RawCaller, query_frame

_SETTLE_S = 0.5


def measure(
    counts: tuple[int, ...] = (1, 10, 100, 1000, 10000),
    busy: int = 50,
    duration_s: float = 2.0,
    sql: str = "SELECT 1",
) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    counts : tuple of int
        Numbers of connected callers, in ascending order.
    busy : int
        Most callers that send statements.
    duration_s : float
        Time of each load.
    sql : str
        Statement that is sent.
    """
    with run_bench_site() as site:
        duration = timedelta(seconds=duration_s)
        run = functools.partial(_measure, site, counts, busy, duration, sql)
        steps = anyio.run(run)
    report = {"bench": "scaling", "busy": busy, "sql": sql, "steps": steps}
    print(msgspec.json.encode(report).decode())


async def _measure(
    site: BenchSite, counts: tuple[int, ...], busy: int, duration: timedelta, sql: str
) -> list[dict]:
    frame = query_frame(sql)
    callers: list[RawCaller] = []
    steps = []
    initial_bytes = site.proxy.memory_bytes()
    for count in counts:
        callers += await open_callers(site.through, GROUP, count - len(callers))
        await anyio.sleep(_SETTLE_S)
        memory_bytes = site.proxy.memory_bytes()
        processes = {"standin": site.databases, "proxy": site.proxy}
        result = await run_closed_loop(callers[:busy], frame, duration, processes)
        added_bytes = memory_bytes - initial_bytes
        step = {"callers": count, "memory_bytes": memory_bytes}
        step["bytes_per_caller"] = round(added_bytes / count)
        steps.append(step | asdict(result))
    return steps


if __name__ == "__main__":
    fire.Fire(measure)
