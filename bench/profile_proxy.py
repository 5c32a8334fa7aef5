"""Profiles the processor time of a proxy by function.

``python -m bench.profile_proxy [--callers 20] [--duration_s 4] [--sql "SELECT 1"]``
prints one JSON line: the functions that use the most time themselves, without the
functions that they call, in microseconds per statement. The profiler slows down each
call, so compare the shares of the functions, not the times.
"""

import functools
import pstats
import tempfile
from datetime import timedelta

import anyio
import fire
import msgspec

from .bench_site import GROUP, BenchSite, run_bench_site
from .closed_loop import LoopResult, open_callers, run_closed_loop
from .raw_caller import query_frame

_FUNCTION_COUNT = 40


def measure(callers: int = 20, duration_s: float = 4.0, sql: str = "SELECT 1") -> None:
    """Profile a proxy and print one JSON line.

    Parameters
    ----------
    callers : int
        Sessions that send statements at once.
    duration_s : float
        Time of the load.
    sql : str
        Statement that is sent.
    """
    with tempfile.NamedTemporaryFile(suffix=".prof") as file:
        with run_bench_site(profile=file.name) as site:
            duration = timedelta(seconds=duration_s)
            result = anyio.run(
                functools.partial(_run_load, site, callers, duration, sql)
            )
        statement_count = result.statements_per_s * duration_s
        functions = _list_functions(file.name, statement_count)
    report = {"bench": "profile_proxy", "callers": callers, "sql": sql}
    report["statements_per_s"] = result.statements_per_s
    print(msgspec.json.encode(report | {"functions": functions}).decode())


async def _run_load(
    site: BenchSite, callers: int, duration: timedelta, sql: str
) -> LoopResult:
    open_sessions = await open_callers(site.through, GROUP, callers)
    return await run_closed_loop(open_sessions, query_frame(sql), duration, {})


def _list_functions(path: str, statement_count: float) -> list[dict]:
    rows = []
    for (file, line, name), figures in pstats.Stats(path).stats.items():
        _, calls, own_s, total_s, _ = figures
        short_path = "/".join(file.split("/")[-2:])
        row = {"function": f"{short_path}:{line}:{name}"}
        row["calls"] = round(calls / statement_count, 2)
        row["own_us"] = round(own_s / statement_count * 1e6, 2)
        row["total_us"] = round(total_s / statement_count * 1e6, 2)
        rows.append(row)
    rows.sort(key=lambda row: -row["own_us"])
    return rows[:_FUNCTION_COUNT]


if __name__ == "__main__":
    fire.Fire(measure)
