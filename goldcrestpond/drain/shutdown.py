"""Decisions of a graceful shutdown."""

from datetime import timedelta

from .shutdown_action import ShutdownAction
from .shutdown_phase import ShutdownPhase

# Callers that are cut are told so within this time, or not at all.
_CUT_TIMEOUT = timedelta(seconds=2)


class Shutdown:
    """State of one process between the first SIGTERM and its end.

    Parameters
    ----------
    timeout : timedelta
        Longest time for which work in flight is awaited.
    """

    __slots__ = ("_deadline", "_timeout", "phase")

    def __init__(self, timeout: timedelta):
        self._timeout = timeout
        self._deadline = timedelta(0)
        self.phase = ShutdownPhase.SERVING

    def start(self, now: timedelta) -> list[ShutdownAction]:
        """Take a SIGTERM; a further one neither hastens nor delays the end."""
        if self.phase is not ShutdownPhase.SERVING:
            return []
        self.phase = ShutdownPhase.FINISHING
        self._deadline = now + self._timeout
        return [ShutdownAction.STOP_ACCEPTING, ShutdownAction.CLOSE_IDLE_CALLERS]

    def tick(self, callers_left: int, now: timedelta) -> list[ShutdownAction]:
        """Act on the passing of time and on callers that have left."""
        if self.phase is ShutdownPhase.SERVING:
            return []
        if self.phase is ShutdownPhase.FINISHED:
            return []
        if callers_left == 0:
            return self._finish()
        if now < self._deadline:
            return []
        if self.phase is ShutdownPhase.CUTTING:
            return self._finish()
        self.phase = ShutdownPhase.CUTTING
        self._deadline = now + _CUT_TIMEOUT
        return [ShutdownAction.CLOSE_REMAINING_CALLERS]

    def _finish(self) -> list[ShutdownAction]:
        self.phase = ShutdownPhase.FINISHED
        return [ShutdownAction.EXIT]
