"""Slots of one database on this instance, divided into lanes."""

from .lane import Lane

# A report and a short request always fit side by side, also on an instance
# whose share is a single slot.
_MIN_SLOTS = 2
# With waiting in another lane, so many short requests in a row may take slots
# before the other lane has its turn.
_SHORT_BURST = 8
_USUAL_ORDER = tuple(Lane)
_OTHERS_FIRST = (Lane.AGED, Lane.REPORT, Lane.SHORT)


class LaneSlots:
    """Counts running statements by lane.

    Reads of a stated age and reports together leave at least one slot to
    short requests; reports have their own, lower limit besides.

    Parameters
    ----------
    slot_limit : int
        Statements that may run at once.
    report_slot_limit : int
        How many of them may be reports.
    """

    __slots__ = ("_report_limit", "_running", "_short_run", "_total")

    def __init__(self, slot_limit: int, report_slot_limit: int):
        self._running = dict.fromkeys(Lane, 0)
        self._short_run = 0
        self.resize(slot_limit, report_slot_limit)

    @property
    def total(self) -> int:
        """Statements that may run at once."""
        return self._total

    def resize(self, slot_limit: int, report_slot_limit: int) -> None:
        """Set the limits; statements that run are not touched."""
        self._total = max(_MIN_SLOTS, slot_limit)
        self._report_limit = report_slot_limit

    def running(self, lane: Lane) -> int:
        """Return how many statements of a lane run."""
        return self._running[lane]

    def capacity(self, lane: Lane) -> int:
        """Return how many statements of a lane can run at once at best."""
        if lane is Lane.SHORT:
            return self._total
        if lane is Lane.AGED:
            return self._total - 1
        return min(self._report_limit, self._total - 1)

    def admits(self, lane: Lane) -> bool:
        """Tell whether one more statement of this lane may start."""
        if sum(self._running.values()) >= self._total:
            return False
        if lane is Lane.SHORT:
            return True
        others = self._running[Lane.AGED] + self._running[Lane.REPORT]
        if others >= self._total - 1:
            return False
        return self._running[lane] < self.capacity(lane)

    def offer_order(self, others_wait: bool) -> tuple[Lane, ...]:
        """Return the lanes in the order in which a free slot is offered."""
        if others_wait and self._short_run >= _SHORT_BURST:
            return _OTHERS_FIRST
        return _USUAL_ORDER

    def start(self, lane: Lane) -> None:
        """Count a statement that starts."""
        self._running[lane] += 1
        self._short_run = self._short_run + 1 if lane is Lane.SHORT else 0

    def resume(self, lane: Lane) -> None:
        """Count a further statement of an open transaction.

        It never waits: the transaction may hold locks that others wait for.
        """
        self._running[lane] += 1

    def finish(self, lane: Lane) -> None:
        """Count a statement that ended."""
        self._running[lane] -= 1
