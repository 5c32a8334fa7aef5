"""Shuts a proxy down after its work in flight has ended."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..drain.shutdown import Shutdown
from ..drain.shutdown_action import ShutdownAction
from ..drain.shutdown_phase import ShutdownPhase
from ..events.recorder import EventRecorder
from ..wire.caller_server import CallerServer

_TICK_INTERVAL_S = 0.02  # delay until the end of the last request is noticed


class GracefulShutdown:
    """Shuts a proxy down after its work in flight has ended.

    Callers that are still busy at the timeout are disconnected.

    Parameters
    ----------
    callers : CallerServer
        Connected callers of the process.
    timeout : timedelta
        Longest time to wait for work in flight.
    clock : Clock
        Source of monotonic time.
    events : EventRecorder
        Recorder of the process's events.
    """

    __slots__ = ("_callers", "_clock", "_shutdown", "_events")

    def __init__(
        self,
        callers: CallerServer,
        timeout: timedelta,
        clock: Clock,
        events: EventRecorder,
    ):
        self._callers = callers
        self._shutdown = Shutdown(timeout)
        self._clock = clock
        self._events = events

    async def run(self) -> None:
        """Shut down; return when the process may exit.

        It may be called again while it runs.
        """
        self._events.record("drain", "shutdown_started", callers=self._caller_count())
        self._apply(self._shutdown.start(self._clock.now()))
        while self._shutdown.phase is not ShutdownPhase.FINISHED:
            await anyio.sleep(_TICK_INTERVAL_S)
            actions = self._shutdown.tick(self._caller_count(), self._clock.now())
            self._apply(actions)
        self._events.record("drain", "shutdown_finished", callers=self._caller_count())

    def _apply(self, actions: list[ShutdownAction]) -> None:
        for action in actions:
            if action is ShutdownAction.STOP_ACCEPTING:
                self._callers.stop_accepting()
            elif action is ShutdownAction.CLOSE_IDLE_CALLERS:
                self._callers.close_idle_sessions()
            elif action is ShutdownAction.CLOSE_REMAINING_CALLERS:
                self._events.record(
                    "drain", "callers_cut", callers=self._caller_count()
                )
                self._callers.close_all_sessions()

    def _caller_count(self) -> int:
        return self._callers.caller_count
