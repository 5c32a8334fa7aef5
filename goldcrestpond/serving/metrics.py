"""Counters, gauges and latencies in the Prometheus text exposition format."""

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

LATENCY_LIMIT_MS = 60_000  # longer than any statement may take
SIGNIFICANT_DIGITS = 2  # an error of 1% is finer than an operator compares
PERCENTILES = (50, 90, 99, 99.9)
_PREFIX = "goldcrestpond"

Gauges = Callable[[], Mapping[str, float]]


class Metrics:
    """Counters by name and labels, and latency histograms by name.

    Parameters
    ----------
    gauges : callable
        Returns the current values of all gauges; called at each ``render``.
    """

    __slots__ = ("_counters", "_gauges", "_latencies")

    def __init__(self, gauges: Gauges = dict):
        self._counters: Counter[str] = Counter()
        self._latencies: dict[str, HdrHistogram] = {}
        self._gauges = gauges

    def set_gauges(self, gauges: Gauges) -> None:
        """Replace the function that returns the gauges."""
        self._gauges = gauges

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self._counters[f"{name}{_render_labels(labels)}"] += 1

    def observe_ms(self, name: str, elapsed_ms: float) -> None:
        """Add an observation to a latency histogram."""
        histogram = self._latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, LATENCY_LIMIT_MS, SIGNIFICANT_DIGITS)
            self._latencies[name] = histogram
        histogram.record_value(min(LATENCY_LIMIT_MS, max(1, round(elapsed_ms))))

    def render(self) -> bytes:
        """Return all metrics as text."""
        values = {**self._counters, **self._gauges()}
        lines = [f"{_PREFIX}_{key} {value}" for key, value in values.items()]
        for name, histogram in self._latencies.items():
            lines += _render_latency(f"{_PREFIX}_{name}_ms", histogram)
        return ("\n".join(lines) + "\n").encode()


def _render_labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels.items())
    return f"{{{pairs}}}"


def _escape(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")


def _render_latency(name: str, histogram: HdrHistogram) -> list[str]:
    lines = [
        f'{name}{{quantile="{percentile / 100}"}} '
        f"{histogram.get_value_at_percentile(percentile)}"
        for percentile in PERCENTILES
    ]
    return [*lines, f"{name}_count {histogram.get_total_count()}"]
