"""Times without accepted writes after failures of the primary."""

from datetime import timedelta


class WriteGap:
    """Measures the gaps that follow failures of the primary.

    A gap lasts from the failure to the first acknowledgement of a write with a
    higher term.
    """

    __slots__ = ("_failed_at", "_term", "gaps")

    def __init__(self):
        self._failed_at: timedelta | None = None
        self._term = 0
        self.gaps: list[timedelta] = []

    def record_failure(self, term: int, now: timedelta) -> None:
        """Record that the primary of ``term`` failed."""
        self._failed_at = now
        self._term = term

    def record_acknowledgement(self, term: int, now: timedelta) -> None:
        """Record that a write of ``term`` was acknowledged."""
        if self._failed_at is not None and term > self._term:
            self.gaps.append(now - self._failed_at)
            self._failed_at = None

    @property
    def is_open(self) -> bool:
        """Whether a gap has started and not yet ended."""
        return self._failed_at is not None

    @property
    def longest_ms(self) -> float:
        """Longest gap in milliseconds."""
        return max(self.gaps, default=timedelta(0)) / timedelta(milliseconds=1)
