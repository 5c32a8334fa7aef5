"""State machine by which one instance drains one endpoint."""

from datetime import timedelta

from .drain_action import DrainAction
from .drain_phase import DrainPhase

# A primary that has not handed over within this time refuses new work nevertheless:
# no endpoint gets new work later than 3 s after its drain order is in force. The other
# 500 ms are a margin for the interval at which drains are advanced.
_MAX_HANDOVER = timedelta(milliseconds=2500)


class EndpointDrain:
    """State of the drain of one endpoint.

    Parameters
    ----------
    ordered_at : timedelta
        Monotonic time at which this instance learnt of the drain.
    deadline : timedelta
        Time after ``ordered_at`` at which connections that still run work are
        closed.
    """

    __slots__ = ("_close_at", "_handover_until", "phase")

    def __init__(self, ordered_at: timedelta, deadline: timedelta):
        self._close_at = ordered_at + deadline
        self._handover_until = ordered_at + min(deadline, _MAX_HANDOVER)
        self.phase = DrainPhase.HANDOVER

    def update(
        self, is_primary: bool, running_count: int, now: timedelta
    ) -> list[DrainAction]:
        """Advance the drain by the endpoint's current state.

        Parameters
        ----------
        is_primary : bool
            Whether the endpoint is the group's primary, as far as is known.
        running_count : int
            Connections to it that run a statement or hold a transaction.
        now : timedelta
            Monotonic time.

        Returns
        -------
        list of DrainAction
            Actions that are now due, in order.
        """
        actions = []
        if self.phase is DrainPhase.HANDOVER:
            if is_primary and now < self._handover_until:
                return []
            self.phase = DrainPhase.FINISHING
            actions.append(DrainAction.REFUSE_NEW_WORK)
        if self.phase is DrainPhase.DONE:
            return actions
        if running_count and now >= self._close_at:
            actions.append(DrainAction.CLOSE_CONNECTIONS)
            self.phase = DrainPhase.DONE
        elif not running_count:
            self.phase = DrainPhase.DONE
        return actions
