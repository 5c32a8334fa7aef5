"""Counters and latency histograms as text."""

from bisect import bisect_left
from collections import Counter

# Upper bounds in ms; an objective is 150 to 800 ms today.
LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200)


class MetricsText:
    """Counts by name and label; rendered in the Prometheus text format."""

    __slots__ = ("_counters", "_histograms", "_sums_ms")

    def __init__(self) -> None:
        self._counters: Counter[str] = Counter()
        self._histograms: dict[str, list[int]] = {}
        self._sums_ms: Counter[str] = Counter()

    def count(self, name: str, label: str = "") -> None:
        """Add one to a counter."""
        key = f'{name}{{kind="{label}"}}' if label else name
        self._counters[key] += 1

    def observe_ms(self, name: str, elapsed_ms: float) -> None:
        """Add one observation to a histogram."""
        counts = self._histograms.setdefault(name, [0] * (len(LATENCY_BOUNDS_MS) + 1))
        counts[bisect_left(LATENCY_BOUNDS_MS, elapsed_ms)] += 1
        self._sums_ms[name] += elapsed_ms

    def render(self) -> bytes:
        """Return everything as text."""
        lines = [f"goldcrestpond_{key} {n}" for key, n in self._counters.items()]
        for name, counts in self._histograms.items():
            lines += self._render_histogram(f"goldcrestpond_{name}_ms", name, counts)
        return ("\n".join(lines) + "\n").encode()

    def _render_histogram(self, full: str, name: str, counts: list[int]) -> list[str]:
        lines = []
        total = 0
        for bound, count in zip((*LATENCY_BOUNDS_MS, "+Inf"), counts, strict=True):
            total += count
            lines.append(f'{full}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{full}_sum {self._sums_ms[name]:.3f}")
        lines.append(f"{full}_count {total}")
        return lines
