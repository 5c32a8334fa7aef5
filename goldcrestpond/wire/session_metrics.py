"""Counters and timers of sessions."""

from datetime import timedelta
from typing import Protocol

from ..errors.result_code import ResultCode


class StatsClient(Protocol):
    """The part of a statsd client that is used."""

    def incr(self, stat: str, count: int = 1, rate: float = 1) -> None:
        """Count."""

    def timing(self, stat: str, delta: float, rate: float = 1) -> None:
        """Report a duration in milliseconds."""

    def gauge(self, stat: str, value: float, rate: float = 1) -> None:
        """Report a present value."""


class SessionMetrics:
    """Metrics of all sessions of a process.

    Parameters
    ----------
    stats : StatsClient
        Where they go.
    sample_rate : float
        Share of requests whose duration is reported.
    """

    __slots__ = (
        "_sample_rate",
        "_stats",
        "from_primary",
        "replica_answer_count",
        "refused",
    )

    def __init__(self, stats: StatsClient, sample_rate: float):
        self._stats = stats
        self._sample_rate = sample_rate
        self.from_primary = 0
        self.replica_answer_count = 0
        self.refused = 0

    def request_done(self, duration: timedelta) -> None:
        """Report the duration of one request."""
        milliseconds = duration / timedelta(milliseconds=1)
        self._stats.timing("wire.request_ms", milliseconds, self._sample_rate)

    def request_refused(self, code: ResultCode) -> None:
        """Count a request that was answered with an error of the proxy."""
        self.refused += 1
        self._stats.incr(f"wire.refused.{code.number}")

    def answered(self, is_primary: bool) -> None:
        """Count an answer by the role of the database that gave it."""
        if is_primary:
            self.from_primary += 1
            self._stats.incr("wire.from_primary", rate=self._sample_rate)
        else:
            self.replica_answer_count += 1
            self._stats.incr("wire.from_replica", rate=self._sample_rate)
