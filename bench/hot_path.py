"""Compares statements through a proxy with statements over a direct connection.

``python -m bench.hot_path [--callers 1] [--duration_s 2] [--repetitions 5]
[--base TREE]`` prints one JSON line. Direct and proxied loops alternate within
the run. Each figure is given as the median, the least and the greatest of the
repetitions. ``--base`` names another source tree, whose proxy is measured as well.
"""

import functools
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import asdict
from datetime import timedelta
from statistics import median

import anyio
import fire
import msgspec

from goldcrestpond.settings.address import Address

from .bench_site import GROUP, BenchSite, run_bench_site
from .closed_loop import LoopResult, open_callers, run_closed_loop
from .raw_caller import query_frame

_WARM_UP = timedelta(seconds=0.5)

Target = tuple[str, Address, BenchSite]


def measure(
    callers: int = 1,
    duration_s: float = 2.0,
    repetitions: int = 5,
    sql: str = "SELECT 1",
    base: str = "",
) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    callers : int
        Sessions that send statements at once.
    duration_s : float
        Time of each loop.
    repetitions : int
        Measured loops for each target.
    sql : str
        Statement that is sent.
    base : str
        Source tree of a second proxy to compare with; empty for none.
    """
    with ExitStack() as stack:
        site = stack.enter_context(run_bench_site())
        targets = [("direct", site.direct, site), ("proxy", site.through, site)]
        if base:
            base_site = stack.enter_context(run_bench_site(base))
            targets.append(("base", base_site.through, base_site))
        run = functools.partial(
            _measure, targets, callers, timedelta(seconds=duration_s), repetitions, sql
        )
        results = anyio.run(run)
    figures = {name: _summarize(each) for name, each in results.items()}
    report = {"bench": "hot_path", "callers": callers, "sql": sql, **figures}
    report["added_p50_ms"] = _compute_added_ms(results, lambda result: result.p50_ms)
    report["added_p99_ms"] = _compute_added_ms(results, lambda result: result.p99_ms)
    print(msgspec.json.encode(report).decode())


async def _measure(
    targets: list[Target],
    callers: int,
    duration: timedelta,
    repetitions: int,
    sql: str,
) -> dict[str, list[LoopResult]]:
    frame = query_frame(sql)
    results: dict[str, list[LoopResult]] = {name: [] for name, _, _ in targets}
    callers_by_target = {
        name: await open_callers(address, GROUP, callers)
        for name, address, _ in targets
    }
    for repetition in range(repetitions + 1):
        for name, _, site in targets:
            processes = {"standin": site.databases, "proxy": site.proxy}
            loop_duration = duration if repetition else _WARM_UP
            result = await run_closed_loop(
                callers_by_target[name], frame, loop_duration, processes
            )
            if repetition:
                results[name].append(result)
    return results


def _summarize(results: list[LoopResult]) -> dict[str, object]:
    figures = [asdict(result) for result in results]
    summary: dict[str, object] = {}
    for key in ("statements_per_s", "p50_ms", "p99_ms"):
        values = [each[key] for each in figures]
        summary[key] = _summarize_values(values)
    for process in figures[0]["cpu_us"]:
        values = [each["cpu_us"][process] for each in figures]
        summary[f"{process}_cpu_us"] = _summarize_values(values)
    return summary


def _summarize_values(values: list[float]) -> dict[str, float]:
    return {"median": median(values), "least": min(values), "greatest": max(values)}


def _compute_added_ms(
    results: dict[str, list[LoopResult]], figure: Callable[[LoopResult], float]
) -> float:
    pairs = zip(results["proxy"], results["direct"], strict=True)
    return round(median(figure(one) - figure(other) for one, other in pairs), 4)


if __name__ == "__main__":
    fire.Fire(measure)
