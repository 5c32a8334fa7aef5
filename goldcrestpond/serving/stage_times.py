"""How long the stages of one statement took at this instance."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from ..clock.clock import Clock

# Stages, as they appear in logs and metrics.
PROOF = "proof"  # of the leader, or of its position
CHECKOUT = "checkout"  # of a connection: home, queue, opening, charge
SESSION = "session"  # setting values on the connection
BEGIN = "begin"
RUN = "run"  # at the database
RELAY = "relay"  # at the instance that runs it instead of this one
PAUSE = "pause"  # between attempts


class StageTimes:
    """Sums the time that each stage of a statement took.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    spans : dict of str to timedelta
        Time by stage, in the order in which they first ended.
    """

    __slots__ = ("_clock", "spans")

    def __init__(self, clock: Clock):
        self._clock = clock
        self.spans: dict[str, timedelta] = {}

    @contextmanager
    def measure(self, stage: str) -> Iterator[None]:
        """Add the time that the block takes to a stage, also if it fails."""
        began_at = self._clock.now()
        try:
            yield
        finally:
            span = self._clock.now() - began_at
            self.spans[stage] = self.spans.get(stage, timedelta(0)) + span

    def to_milliseconds(self) -> dict[str, int]:
        """Return the times as whole milliseconds, for log lines."""
        return {
            stage: round(span / timedelta(milliseconds=1))
            for stage, span in self.spans.items()
        }
