"""Usual time of service of a database, by lane."""

from datetime import timedelta

from .lane import Lane

# Fewer answers than this say nothing about what is usual.
MIN_ANSWERS_COUNT = 8
# With a weight of 1/32 the mean shows two thirds of a change after 32 answers; it tells
# what is usual, not what is now.
_SMOOTHING_FACTOR = 1 / 32


class UsualTimes:
    """Moving averages of the time for which statements of each lane occupy a slot."""

    __slots__ = ("_counts", "_means")

    def __init__(self) -> None:
        self._means: dict[Lane, timedelta] = {}
        self._counts = dict.fromkeys(Lane, 0)

    def add(self, lane: Lane, service_time: timedelta) -> None:
        """Add the time of service of one answer; the first ones count equally."""
        self._counts[lane] += 1
        mean = self._means.get(lane, service_time)
        weight = max(_SMOOTHING_FACTOR, 1 / self._counts[lane])
        self._means[lane] = mean + (service_time - mean) * weight

    def mean(self, lane: Lane) -> timedelta | None:
        """Return the mean of a lane; None before its first answer."""
        return self._means.get(lane)

    def usual(self, lane: Lane) -> timedelta | None:
        """Return the mean of a lane; None before ``MIN_ANSWERS_COUNT`` answers."""
        if self._counts[lane] < MIN_ANSWERS_COUNT:
            return None
        return self._means[lane]
