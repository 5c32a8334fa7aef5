"""State machine of a graceful shutdown."""

from datetime import timedelta

from .shutdown_action import ShutdownAction
from .shutdown_phase import ShutdownPhase

# Time for sending an error to the remaining callers before the process exits.
_CLOSE_TIMEOUT = timedelta(seconds=2)


class Shutdown:
    """State of one process between the first SIGTERM and its exit.

    Parameters
    ----------
    timeout : timedelta
        Maximum time to wait for work in flight.
    """

    __slots__ = ("_deadline", "_timeout", "phase")

    def __init__(self, timeout: timedelta):
        self._timeout = timeout
        self._deadline = timedelta(0)
        self.phase = ShutdownPhase.SERVING

    def start(self, now: timedelta) -> list[ShutdownAction]:
        """Start the shutdown at a SIGTERM.

        Further calls have no effect: a second SIGTERM neither shortens nor extends
        the timeout.
        """
        if self.phase is not ShutdownPhase.SERVING:
            return []
        self.phase = ShutdownPhase.FINISHING
        self._deadline = now + self._timeout
        return [ShutdownAction.STOP_ACCEPTING, ShutdownAction.CLOSE_IDLE_CALLERS]

    def tick(self, caller_count: int, now: timedelta) -> list[ShutdownAction]:
        """Return the actions that are due.

        Parameters
        ----------
        caller_count : int
            Number of callers that are still connected.
        now : timedelta
            Monotonic time.
        """
        if self.phase is ShutdownPhase.SERVING:
            return []
        if self.phase is ShutdownPhase.FINISHED:
            return []
        if caller_count == 0:
            return self._finish()
        if now < self._deadline:
            return []
        if self.phase is ShutdownPhase.CUTTING:
            return self._finish()
        self.phase = ShutdownPhase.CUTTING
        self._deadline = now + _CLOSE_TIMEOUT
        return [ShutdownAction.CLOSE_REMAINING_CALLERS]

    def _finish(self) -> list[ShutdownAction]:
        self.phase = ShutdownPhase.FINISHED
        return [ShutdownAction.EXIT]
