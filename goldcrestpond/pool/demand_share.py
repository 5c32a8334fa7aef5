"""Slots that one instance may use at a database, by its demand."""

from datetime import timedelta

from .lane import Lane
from .recent_minimum import RecentMinimum

# Weight of one answer in the mean that tells how the database answers now: two thirds
# of a change show after eight answers.
PRESENT_WEIGHT_FRACTION = 1 / 8
# Weight in the mean whose minimum counts as the time without a queue: slow enough that
# the differences between statements average out.
UNLOADED_WEIGHT_FRACTION = 1 / 32
# Answers of a lane before that mean is used; nothing is borrowed before.
FIRST_ANSWERS_COUNT = 32
# Time over which that minimum is taken: the load of a database usually has a gap within
# it, and a database that has become slower for good is noticed after it.
UNLOADED_MEMORY = timedelta(seconds=30)
# Up to this multiple of the time without a queue, statements hardly wait in the
# database; above the second one, at least as many wait as run.
FREE_FACTOR = 1.4
QUEUEING_FACTOR = 1.8
# Answers between two changes, so that each change shows before the next one.
MIN_ROUND_ANSWERS_COUNT = 4
# Of the answers of a round, how many must have left requests waiting for a slot.
SHORTAGE_FRACTION = 0.5
# A share that was not needed for this time falls back to the equal part.
UNUSED_TIME = timedelta(seconds=1)


class DemandShare:
    """The equal part of an instance, and what it borrows of the parts of others.

    The instances that hold connections to a database each have an equal part of its
    slots. If the callers of most instances reach only one of them, for example while
    the network is split, its part is too small although the database is idle. It then
    uses more slots, one at a time, for as long as the database answers as fast as
    without a queue, and gives them back as soon as it does not. Nothing is exchanged
    between the instances: the answers show the load of all of them.

    Parameters
    ----------
    part : int
        Slots that this instance may always use.
    ceiling : int
        Slots that it may use at most. Where it equals ``part``, nothing is borrowed.
    """

    __slots__ = (
        "_answer_count",
        "_borrowed",
        "_ceiling",
        "_counts",
        "_means",
        "_needed_at",
        "_part",
        "_present_ratio",
        "_short_count",
        "_unloaded",
    )

    def __init__(self, part: int, ceiling: int):
        self._part = part
        self._ceiling = max(part, ceiling)
        self._borrowed = 0
        self._means: dict[Lane, timedelta] = {}
        self._counts = dict.fromkeys(Lane, 0)
        self._unloaded = {lane: RecentMinimum(UNLOADED_MEMORY) for lane in Lane}
        self._present_ratio = 1.0
        self._needed_at = timedelta(0)
        self._start_round()

    @property
    def limit(self) -> int:
        """Slots that this instance may use now."""
        return self._part + self._borrowed

    @property
    def borrowed(self) -> int:
        """Slots beyond the equal part."""
        return self._borrowed

    @property
    def present_ratio(self) -> float:
        """How long answers take now, as a multiple of the time without a queue."""
        return self._present_ratio

    def resize(self, part: int, ceiling: int) -> None:
        """Set the equal part and the ceiling."""
        self._part = part
        self._ceiling = max(part, ceiling)
        self._borrowed = min(self._borrowed, self._ceiling - self._part)

    def record_answer(
        self, lane: Lane, service_time: timedelta, is_short: bool, now: timedelta
    ) -> None:
        """Record an answer of the database.

        Parameters
        ----------
        lane : Lane
            Lane of the statement.
        service_time : timedelta
            Time for which it occupied its slot.
        is_short : bool
            Whether requests waited for a slot when it was answered.
        now : timedelta
            Monotonic time.
        """
        if self._ceiling == self._part:
            return
        if is_short:
            self._needed_at = now
        elif now - self._needed_at >= UNUSED_TIME:
            self._give_back()
            return
        if not self._update_ratio(lane, service_time, now):
            return
        self._answer_count += 1
        self._short_count += is_short
        if self._answer_count >= max(MIN_ROUND_ANSWERS_COUNT, self.limit):
            self._finish_round()

    def record_refusal(self) -> None:
        """Record that the database refused a statement because its queue is full."""
        self._give_back()

    def _give_back(self) -> None:
        self._borrowed = 0
        self._start_round()

    def _update_ratio(
        self, lane: Lane, service_time: timedelta, now: timedelta
    ) -> bool:
        """Compare an answer with the time without a queue; return whether it is known.

        The first answers of a lane count equally in its mean.
        """
        self._counts[lane] += 1
        weight = max(UNLOADED_WEIGHT_FRACTION, 1 / self._counts[lane])
        mean = self._means.get(lane, timedelta(0))
        mean += (service_time - mean) * weight
        self._means[lane] = mean
        if self._counts[lane] < FIRST_ANSWERS_COUNT:
            return False
        unloaded = self._unloaded[lane].add(mean, now)
        ratio = service_time / max(unloaded, timedelta(microseconds=1))
        self._present_ratio += (ratio - self._present_ratio) * PRESENT_WEIGHT_FRACTION
        return True

    def _finish_round(self) -> None:
        is_short = self._short_count >= self._answer_count * SHORTAGE_FRACTION
        self._start_round()
        if self._present_ratio >= QUEUEING_FACTOR:
            self._borrowed = max(0, self._borrowed - 1)
        elif is_short and self._present_ratio <= FREE_FACTOR:
            self._borrowed = min(self._ceiling - self._part, self._borrowed + 1)

    def _start_round(self) -> None:
        self._answer_count = 0
        self._short_count = 0
