"""Primary positions over time, to tell the age of a replica's data."""

from bisect import bisect_left, bisect_right
from datetime import timedelta

from ..term.verified_sample import VerifiedSample

# Samples closer than this would add memory and no useful precision.
SAMPLE_SPACING = timedelta(milliseconds=20)
SAMPLE_LIMIT = 4096  # with the spacing, at least 80 s of samples


class PositionSamples:
    """Verified primary positions of one term in order of time.

    Only readings of this process's monotonic clock are compared.
    """

    __slots__ = ("_positions", "_term", "_times")

    def __init__(self):
        self._term = 0
        self._positions: list[int] = []
        self._times: list[timedelta] = []

    def add(self, sample: VerifiedSample) -> None:
        """Take in a sample; a new term forgets those of the former one."""
        if sample.position.term != self._term:
            if sample.position.term < self._term:
                return
            self._term = sample.position.term
            self._positions.clear()
            self._times.clear()
        if self._times and sample.sampled_after <= self._times[-1]:
            return
        self._append(sample)
        if len(self._times) > SAMPLE_LIMIT:
            half = SAMPLE_LIMIT // 2
            del self._positions[:half]
            del self._times[:half]

    def fresh_as_of(self, term: int, replayed_position: int) -> timedelta | None:
        """Return a reading at which the data of a replica was complete.

        Everything that had been acknowledged then is at or below
        ``replayed_position``; None if no sample shows such a time.
        """
        if term != self._term:
            return None
        index = bisect_right(self._positions, replayed_position)
        return self._times[index - 1] if index else None

    def reached_at(self, term: int, position: int) -> timedelta | None:
        """Return the first known reading at which the primary held a position."""
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
        return sampled_after - self._times[-2] < SAMPLE_SPACING
