"""Positions of the primary over time, from which the age of replica data follows."""

from bisect import bisect_left, bisect_right
from datetime import timedelta

from ..term.verified_sample import VerifiedSample

# Samples closer together than this would cost memory without useful precision.
MIN_SAMPLE_INTERVAL = timedelta(milliseconds=20)
# Above this count the older half is dropped. Each sample is at least the minimum
# interval older than the next but one, so that the rest covers at least 20 s.
MAX_SAMPLE_COUNT = 4096


class PositionSamples:
    """Verified positions of the primary of one term, ordered by time.

    All times are of this process's monotonic clock.
    """

    __slots__ = ("_positions", "_term", "_times")

    def __init__(self):
        self._term = 0
        self._positions: list[int] = []
        self._times: list[timedelta] = []

    def add(self, sample: VerifiedSample) -> None:
        """Add a sample; the first one of a new term discards those of earlier terms."""
        if sample.position.term != self._term:
            if sample.position.term < self._term:
                return
            self._term = sample.position.term
            self._positions.clear()
            self._times.clear()
        if self._times and sample.sampled_after <= self._times[-1]:
            return
        self._append(sample)
        if len(self._times) > MAX_SAMPLE_COUNT:
            half = MAX_SAMPLE_COUNT // 2
            del self._positions[:half]
            del self._times[:half]

    def fresh_as_of(self, term: int, replayed_position: int) -> timedelta | None:
        """Return a time as of which the data of a replica is complete.

        Every write that was acknowledged by that time is at or below
        ``replayed_position``. None if no sample shows such a time.

        Parameters
        ----------
        term : int
            Term that the replica follows.
        replayed_position : int
            Number of log entries that its reads show.
        """
        if term != self._term:
            return None
        index = bisect_right(self._positions, replayed_position)
        return self._times[index - 1] if index else None

    def reached_at(self, term: int, position: int) -> timedelta | None:
        """Return the earliest sampled time at which the primary had a position.

        None if no sample of the term shows it.
        """
        if term != self._term:
            return None
        index = bisect_left(self._positions, position)
        return self._times[index] if index < len(self._times) else None

    def _append(self, sample: VerifiedSample) -> None:
        position = sample.position.position
        if self._can_replace_last(position, sample.sampled_after):
            self._positions.pop()
            self._times.pop()
        self._positions.append(position)
        self._times.append(sample.sampled_after)

    def _can_replace_last(self, position: int, sampled_after: timedelta) -> bool:
        if not self._positions:
            return False
        if self._positions[-1] == position:
            return True
        if len(self._times) < 2:
            return False
        return sampled_after - self._times[-2] < MIN_SAMPLE_INTERVAL
