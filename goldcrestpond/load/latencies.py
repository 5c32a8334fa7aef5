"""Latency histogram of one kind of request."""

from datetime import timedelta

from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000  # two minutes, longer than any deadline of a run
_SIGNIFICANT_DIGITS = 3


class Latencies:
    """Histogram of durations with a resolution of 1 microsecond."""

    __slots__ = ("_histogram",)

    def __init__(self):
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        return self._histogram.get_total_count()

    def record(self, duration: timedelta) -> None:
        """Record one duration, limited to the range of the histogram."""
        microseconds = max(_LOWEST_US, duration // timedelta(microseconds=1))
        self._histogram.record_value(min(microseconds, _HIGHEST_US))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds; 0 if nothing was recorded."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percentile) / 1000
