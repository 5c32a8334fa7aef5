"""HTML report with tables and plots of several results."""

import html
import io
from collections.abc import Callable, Sequence
from pathlib import Path

import matplotlib
import msgspec
from matplotlib.figure import Figure

from .load_result import LoadResult

_PAGE = """<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Load results</title><style>
body {{ font-family: sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; font-size: 85%; }}
td, th {{ border: 1px solid #ccc; padding: 2px 8px; text-align: right; }}
td:first-child, th:first-child {{ text-align: left; }}
</style></head><body><h1>Load results</h1>
{tables}
{plots}
</body></html>
"""
_COLUMNS = (
    "scenario",
    "seed",
    "duration_s",
    "acknowledged",
    "unknown",
    "refused",
    "lost",
    "doubled",
    "stale_reads",
    "not_run_but_ran",
    "torn",
    "crossed_reads",
    "acknowledged_by_replaced",
    "unrequested",
    "replica_read_share",
    "failover_gap_ms",
    "p50_ms",
    "p99_ms",
    "direct_p50_ms",
    "statements_per_s",
)
_FIGURE_INCHES = (11, 7.5)


def read_results(paths: Sequence[str]) -> list[LoadResult]:
    """Read results from files with one JSON object per line.

    Raises
    ------
    OSError
        If a file cannot be read.
    msgspec.DecodeError
        If a line is not a valid result.
    """
    lines = [line for path in paths for line in Path(path).read_bytes().splitlines()]
    return [msgspec.json.decode(line, type=LoadResult) for line in lines if line]


def render_report(results: Sequence[LoadResult]) -> str:
    """Return the report as an HTML page with embedded SVG plots."""
    details = [
        (result.scenario, result.seed, name, value)
        for result in results
        for name, value in result.details.items()
    ]
    rows = [[getattr(result, name) for name in _COLUMNS] for result in results]
    tables = _table(_COLUMNS, rows)
    tables += "<h2>Details</h2>"
    tables += _table(("scenario", "seed", "figure", "value"), details)
    return _PAGE.format(tables=tables, plots=_plots(results))


def _table(names: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in names)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _plots(results: Sequence[LoadResult]) -> str:
    figure = Figure(figsize=_FIGURE_INCHES, layout="constrained")
    axes = figure.subplots(2, 2)
    names = list(dict.fromkeys(result.scenario for result in results))
    _scatter(
        axes[0][0], names, results, "failover gap (ms)", lambda result: result.gaps_ms
    )
    _scatter(
        axes[0][1],
        names,
        results,
        "reads answered by replicas (share)",
        lambda result: [result.replica_read_share],
    )
    _latencies(axes[1][0], names, results)
    _scatter(
        axes[1][1],
        names,
        results,
        "refusals and unknown outcomes (share of writes)",
        lambda result: [_unserved_share(result)],
    )
    text = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "load", "svg.fonttype": "none"}):
        figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue().partition("<!DOCTYPE")[2].partition(">")[2]


def _scatter(
    axis: object,
    names: Sequence[str],
    results: Sequence[LoadResult],
    title: str,
    figures: Callable[[LoadResult], list[float]],
) -> None:
    points = [
        (names.index(result.scenario), value)
        for result in results
        for value in figures(result)
    ]
    axis.scatter([x for x, _ in points], [y for _, y in points], alpha=0.6)
    axis.set_title(title)
    axis.set_ylim(0, max([y for _, y in points], default=0) * 1.1 or 1)
    _name_positions(axis, names)


def _latencies(
    axis: object, names: Sequence[str], results: Sequence[LoadResult]
) -> None:
    for field, label in (
        ("direct_p50_ms", "direct p50"),
        ("p50_ms", "write p50"),
        ("p99_ms", "write p99"),
    ):
        measured = [result for result in results if getattr(result, field) > 0]
        positions = [names.index(result.scenario) for result in measured]
        values = [getattr(result, field) for result in measured]
        axis.scatter(positions, values, label=label, alpha=0.6)
    axis.set_yscale("log")
    axis.set_title("latency (ms)")
    axis.legend()
    _name_positions(axis, names)


def _name_positions(axis: object, names: Sequence[str]) -> None:
    axis.set_xticks(range(len(names)), names, rotation=45, ha="right")
    axis.set_xlim(-0.5, len(names) - 0.5)


def _unserved_share(result: LoadResult) -> float:
    unserved = result.unknown + result.refused
    return unserved / max(1, unserved + result.acknowledged)
