"""The time in which no write could be accepted."""

from datetime import timedelta


class WriteGap:
    """Measures the gap around a failure of the primary.

    The gap runs from the failure to the first acknowledgement of a write that
    the next term's primary took.
    """

    __slots__ = ("_failed_at", "_term", "gaps")

    def __init__(self):
        self._failed_at: timedelta | None = None
        self._term = 0
        self.gaps: list[timedelta] = []

    def record_failure(self, term: int, now: timedelta) -> None:
        """Note that the primary of ``term`` failed now."""
        self._failed_at = now
        self._term = term

    def record_acknowledgement(self, term: int, now: timedelta) -> None:
        """Note the acknowledgement of a write of ``term``."""
        if self._failed_at is not None and term > self._term:
            self.gaps.append(now - self._failed_at)
            self._failed_at = None

    @property
    def is_open(self) -> bool:
        """Whether no write has been accepted since the last failure."""
        return self._failed_at is not None

    @property
    def longest_ms(self) -> float:
        """Longest gap in milliseconds."""
        return max(self.gaps, default=timedelta(0)) / timedelta(milliseconds=1)
