"""Admits statements at this instance, or refuses them at once."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..tasks.supervised_tasks import SupervisedTasks
from .load_limit import RETRY_AFTER, LoadLimit
from .loop_lag import LoopLag


class Admission:
    """Counts the statements in flight here, from callers or for other instances.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    tasks : SupervisedTasks
        Runs the measurement of the event loop's delay.

    Attributes
    ----------
    limit : LoadLimit
        What is admitted.
    refused_count : int
        Statements that were refused.
    is_stopped : bool
        Whether the instance is about to end, so that there may be no time to answer.
        Nothing new is sent to a database then, for callers here or elsewhere.
    """

    __slots__ = ("_clock", "_lag", "is_stopped", "limit", "refused_count")

    def __init__(self, clock: Clock, tasks: SupervisedTasks):
        self._clock = clock
        self.limit = LoadLimit()
        self.refused_count = 0
        self.is_stopped = False
        self._lag = LoopLag(
            clock,
            tasks,
            lambda: self.limit.in_flight_count > 0,
            self.limit.observe_lag,
        )

    def gauges(self) -> dict[str, float]:
        """Return values for the metrics."""
        return {
            "statements_in_flight": self.limit.in_flight_count,
            "statements_limit": self.limit.limit_count,
            "statements_refused_busy": self.refused_count,
            "loop_lag_ms": self.limit.lag / timedelta(milliseconds=1),
        }

    def require_time_left(self) -> None:
        """Check that there is time to answer what begins now.

        Raises
        ------
        CodedError
            SHUTTING_DOWN if the instance is about to end; nothing was run.
        """
        if self.is_stopped:
            raise CodedError(ResultCode.SHUTTING_DOWN, "not run")

    @contextmanager
    def admit(self, objective: timedelta) -> Iterator[None]:
        """Count a statement while the block runs it.

        Parameters
        ----------
        objective : timedelta
            What is left of its latency objective.

        Raises
        ------
        CodedError
            OVERLOADED if this instance has too much to do, SHUTTING_DOWN if it is
            about to end; nothing was run.
        """
        self.require_time_left()
        if not self.limit.try_admit():
            self.refused_count += 1
            detail = (
                f"{self.limit.in_flight_count} statements in flight here, delay "
                f"{self.limit.lag / timedelta(milliseconds=1):.0f} ms"
            )
            retry_after_ms = RETRY_AFTER // timedelta(milliseconds=1)
            raise CodedError(ResultCode.OVERLOADED, detail, retry_after_ms)
        began_at = self._clock.now()
        self._lag.start()
        try:
            yield
        finally:
            now = self._clock.now()
            self.limit.record_end(now - began_at, objective, now)
