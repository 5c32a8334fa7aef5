"""Measures the delay of the event loop while there is work."""

from collections.abc import Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..tasks.supervised_tasks import SupervisedTasks

SAMPLE_INTERVAL = timedelta(milliseconds=50)


class LoopLag:
    """Samples by how much the event loop is late, while work is in flight.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    tasks : SupervisedTasks
        Runs the sampling.
    is_busy : callable
        Returns whether work is in flight; sampling ends when it is not.
    observe : callable
        Receives each sample.
    """

    __slots__ = ("_clock", "_is_busy", "_is_running", "_observe", "_tasks")

    def __init__(
        self,
        clock: Clock,
        tasks: SupervisedTasks,
        is_busy: Callable[[], bool],
        observe: Callable[[timedelta], None],
    ):
        self._clock = clock
        self._tasks = tasks
        self._is_busy = is_busy
        self._observe = observe
        self._is_running = False

    def start(self) -> None:
        """Sample until there is no work; does nothing while it is sampling."""
        if not self._is_running:
            self._is_running = True
            self._tasks.start_soon(self._run)

    async def _run(self) -> None:
        try:
            while self._is_busy():
                asked_at = self._clock.now()
                await anyio.sleep(SAMPLE_INTERVAL.total_seconds())
                late = self._clock.now() - asked_at - SAMPLE_INTERVAL
                self._observe(max(timedelta(0), late))
        finally:
            self._is_running = False
