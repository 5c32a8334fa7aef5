"""Decisions of one instance on one endpoint that is leaving."""

from datetime import timedelta

from .drain_action import DrainAction
from .drain_phase import DrainPhase

# A primary that could not hand over by then refuses work nevertheless: no
# endpoint gets new work later than 3 s after its order is in force.
_HANDOVER_LIMIT = timedelta(milliseconds=2500)


class EndpointDrain:
    """State of a drain.

    Parameters
    ----------
    ordered_at : timedelta
        Monotonic reading at which this instance learnt of it.
    deadline : timedelta
        Time after which work in flight is no longer awaited.
    """

    __slots__ = ("_cut_at", "_handover_until", "phase")

    def __init__(self, ordered_at: timedelta, deadline: timedelta):
        self._cut_at = ordered_at + deadline
        self._handover_until = ordered_at + min(deadline, _HANDOVER_LIMIT)
        self.phase = DrainPhase.HANDOVER

    def update(
        self, is_primary: bool, running_count: int, now: timedelta
    ) -> list[DrainAction]:
        """Take the present state of the endpoint.

        Parameters
        ----------
        is_primary : bool
            Whether it is the group's primary, as far as is known.
        running_count : int
            Connections to it that run something or hold a transaction.
        now : timedelta
            Monotonic reading.
        """
        actions = []
        if self.phase is DrainPhase.HANDOVER:
            if is_primary and now < self._handover_until:
                return []
            self.phase = DrainPhase.FINISHING
            actions.append(DrainAction.REFUSE_WORK)
        if self.phase is DrainPhase.DONE:
            return actions
        if running_count and now >= self._cut_at:
            actions.append(DrainAction.CLOSE_CONNECTIONS)
            self.phase = DrainPhase.DONE
        elif not running_count:
            self.phase = DrainPhase.DONE
        return actions
