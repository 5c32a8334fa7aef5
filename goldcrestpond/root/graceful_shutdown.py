"""Carries out the shutdown of a proxy."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..drain.shutdown import Shutdown
from ..drain.shutdown_action import ShutdownAction
from ..drain.shutdown_phase import ShutdownPhase
from ..events.recorder import EventRecorder
from ..wire.caller_server import CallerServer

_TICK_S = 0.02  # how soon the end of the last request is noticed


class GracefulShutdown:
    """Ends a proxy without cutting what is in flight.

    Parameters
    ----------
    callers : CallerServer
        Callers of the process.
    timeout : timedelta
        Longest time for which work in flight is awaited.
    clock : Clock
        Source of monotonic readings.
    events : EventRecorder
        Time line.
    """

    __slots__ = ("_callers", "_clock", "_decisions", "_events")

    def __init__(
        self,
        callers: CallerServer,
        timeout: timedelta,
        clock: Clock,
        events: EventRecorder,
    ):
        self._callers = callers
        self._decisions = Shutdown(timeout)
        self._clock = clock
        self._events = events

    async def run(self) -> None:
        """Shut down; returns when the process may exit. May be called twice."""
        self._events.record("drain", "shutdown_started", callers=self._count())
        self._apply(self._decisions.start(self._clock.now()))
        while self._decisions.phase is not ShutdownPhase.FINISHED:
            await anyio.sleep(_TICK_S)
            actions = self._decisions.tick(self._count(), self._clock.now())
            self._apply(actions)
        self._events.record("drain", "shutdown_finished", callers=self._count())

    def _apply(self, actions: list[ShutdownAction]) -> None:
        for action in actions:
            if action is ShutdownAction.STOP_ACCEPTING:
                self._callers.stop_accepting()
            elif action is ShutdownAction.CLOSE_IDLE_CALLERS:
                self._callers.close_idle_sessions()
            elif action is ShutdownAction.CLOSE_REMAINING_CALLERS:
                self._events.record("drain", "callers_cut", callers=self._count())
                self._callers.close_all_sessions()

    def _count(self) -> int:
        return self._callers.caller_count
