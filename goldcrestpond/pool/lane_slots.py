"""Slots of one database on this instance, shared by the lanes."""

from .lane import Lane

# A report and a short request can always run at the same time, even on an instance
# whose share is a single slot.
_MIN_SLOTS = 2
# While requests wait in another lane, at most this many short requests in a row take
# a slot before the other lane is served.
_MAX_SHORT_RUN = 8
_USUAL_ORDER = tuple(Lane)
_OTHERS_FIRST = (Lane.AGED, Lane.REPORT, Lane.SHORT)


class LaneSlots:
    """Counts the running statements of each lane and limits them.

    Reads of a stated age and reports together leave at least one slot to short
    requests. Reports also have a lower limit of their own.

    Parameters
    ----------
    slot_limit : int
        Number of statements that may run at once.
    report_slot_limit : int
        Number of them that may be reports.
    """

    __slots__ = ("_report_limit", "_running", "_short_run_length", "_total", "_window")

    def __init__(self, slot_limit: int, report_slot_limit: int):
        self._running = dict.fromkeys(Lane, 0)
        self._short_run_length = 0
        self._window: int | None = None
        self.resize(slot_limit, report_slot_limit)

    @property
    def total(self) -> int:
        """Number of statements that may run at once."""
        return self._total if self._window is None else min(self._total, self._window)

    @property
    def running_count(self) -> int:
        """Number of running statements of all lanes."""
        return sum(self._running.values())

    @property
    def unpaced_total(self) -> int:
        """Number of statements that may run at once without a window."""
        return self._total

    @property
    def free_count(self) -> int:
        """Number of further statements that may start, lanes aside."""
        return max(0, self.total - self.running_count)

    def set_window(self, window: int | None) -> None:
        """Limit the running statements of all lanes further; None for no window.

        The rules between the lanes stay those of all slots.
        """
        self._window = window

    def resize(self, slot_limit: int, report_slot_limit: int) -> None:
        """Set the limits; running statements continue."""
        self._total = max(_MIN_SLOTS, slot_limit)
        self._report_limit = report_slot_limit

    def running(self, lane: Lane) -> int:
        """Return the number of running statements of a lane."""
        return self._running[lane]

    def capacity(self, lane: Lane) -> int:
        """Return how many statements of a lane can run if no other lane runs any."""
        if lane is Lane.SHORT:
            return self.total
        if lane is Lane.AGED:
            return min(self._total - 1, self.total)
        return min(self._report_limit, self._total - 1, self.total)

    def admits(self, lane: Lane) -> bool:
        """Return whether one more statement of a lane may start."""
        if self.running_count >= self.total:
            return False
        if lane is Lane.SHORT:
            return True
        others = self._running[Lane.AGED] + self._running[Lane.REPORT]
        if others >= self._total - 1:
            return False
        return self._running[lane] < self.capacity(lane)

    def offer_order(self, others_wait: bool) -> tuple[Lane, ...]:
        """Return the lanes in the order in which a free slot is offered."""
        if others_wait and self._short_run_length >= _MAX_SHORT_RUN:
            return _OTHERS_FIRST
        return _USUAL_ORDER

    def start(self, lane: Lane) -> None:
        """Occupy a slot for a statement that starts."""
        self._running[lane] += 1
        self._short_run_length = self._short_run_length + 1 if lane is Lane.SHORT else 0

    def resume(self, lane: Lane) -> None:
        """Occupy a slot for a further statement of an open transaction.

        It starts without waiting, even beyond the limits: the transaction may hold
        locks that other statements wait for.
        """
        self._running[lane] += 1

    def finish(self, lane: Lane) -> None:
        """Free the slot of a statement that ended."""
        self._running[lane] -= 1
