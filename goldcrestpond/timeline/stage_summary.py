"""Where the time of late statements went, from the log lines of all instances."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

_EVENTS = ("statement late", "statement failed")
_QUANTILES = (0.5, 0.9, 0.99)


@dataclass(frozen=True, slots=True)
class StageSummary:
    """Times of one stage over the statements that spent time in it.

    Attributes
    ----------
    stage : str
        Name of the stage; ``total`` is the whole time at an instance.
    count : int
        Statements with this stage.
    quantiles_ms : tuple of int
        Median, 90th and 99th percentile in milliseconds.
    longest_count : int
        Statements of which it was the longest stage.
    """

    stage: str
    count: int
    quantiles_ms: tuple[int, ...]
    longest_count: int


def summarize_stages(lines: Iterable[bytes]) -> list[StageSummary]:
    """Return the stages of the late and failed statements, the longest first.

    Parameters
    ----------
    lines : iterable of bytes
        Log lines of any instances. Those of other events, and those that can't be
        read, are passed over.
    """
    times: dict[str, list[int]] = {}
    longest: dict[str, int] = {}
    for line in lines:
        stages, elapsed_ms = _read_stages(line)
        if elapsed_ms is None:
            continue
        times.setdefault("total", []).append(elapsed_ms)
        for stage, span_ms in stages.items():
            times.setdefault(stage, []).append(span_ms)
        if stages:
            name = max(stages, key=stages.__getitem__)
            longest[name] = longest.get(name, 0) + 1
    summaries = [
        StageSummary(stage, len(spans), _quantiles(spans), longest.get(stage, 0))
        for stage, spans in times.items()
    ]
    return sorted(summaries, key=lambda each: (-each.longest_count, each.stage))


def render_stages(summaries: Iterable[StageSummary]) -> str:
    """Return a table of the stages."""
    rows = ["stage      statements  longest   p50 ms   p90 ms   p99 ms"]
    for each in summaries:
        p50, p90, p99 = each.quantiles_ms
        rows.append(
            f"{each.stage:<10} {each.count:>10} {each.longest_count:>8}"
            f" {p50:>8} {p90:>8} {p99:>8}"
        )
    return "\n".join(rows)


def _read_stages(line: bytes) -> tuple[dict[str, int], int | None]:
    try:
        record = json.loads(line[line.index(b"{") :])
        if record["event"] not in _EVENTS:
            return {}, None
        stages = {str(k): int(v) for k, v in record["stages_ms"].items()}
        return stages, int(record["elapsed_ms"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return {}, None  # not a line of this kind


def _quantiles(spans_ms: list[int]) -> tuple[int, ...]:
    ordered = sorted(spans_ms)
    return tuple(ordered[int(q * (len(ordered) - 1))] for q in _QUANTILES)
