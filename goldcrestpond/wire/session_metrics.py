"""Counters and timers of sessions."""

from datetime import timedelta
from typing import Protocol

from ..errors.result_code import ResultCode


class StatsClient(Protocol):
    """The methods of a statsd client that are used."""

    def incr(self, stat: str, count: int = 1, rate: float = 1) -> None:
        """Increment a counter."""

    def timing(self, stat: str, delta: float, rate: float = 1) -> None:
        """Report a duration in milliseconds."""

    def gauge(self, stat: str, value: float, rate: float = 1) -> None:
        """Report a current value."""


class SessionMetrics:
    """Metrics of all sessions of a process.

    Parameters
    ----------
    stats : StatsClient
        Client that the metrics are sent to.
    sample_rate : float
        Fraction of requests and answers that are reported.

    Attributes
    ----------
    primary_answer_count : int
        Answers given by primaries.
    replica_answer_count : int
        Answers given by replicas.
    refusal_count : int
        Requests and sessions that the proxy answered with an error of its own.
    """

    __slots__ = (
        "_sample_rate",
        "_stats",
        "primary_answer_count",
        "replica_answer_count",
        "refusal_count",
    )

    def __init__(self, stats: StatsClient, sample_rate: float):
        self._stats = stats
        self._sample_rate = sample_rate
        self.primary_answer_count = 0
        self.replica_answer_count = 0
        self.refusal_count = 0

    def record_duration(self, duration: timedelta) -> None:
        """Report the duration of a request."""
        milliseconds = duration / timedelta(milliseconds=1)
        self._stats.timing("wire.request_ms", milliseconds, self._sample_rate)

    def record_refusal(self, code: ResultCode) -> None:
        """Count a request or a session that the proxy refused with an error."""
        self.refusal_count += 1
        self._stats.incr(f"wire.refused.{code.number}")

    def record_answer(self, is_primary: bool) -> None:
        """Count an answer by the role of the database that gave it."""
        if is_primary:
            self.primary_answer_count += 1
            self._stats.incr("wire.from_primary", rate=self._sample_rate)
        else:
            self.replica_answer_count += 1
            self._stats.incr("wire.from_replica", rate=self._sample_rate)
