"""Records that all sessions of a run share."""

from bisect import bisect_right
from datetime import timedelta

from ..clock.clock import Clock
from ..group.log_position import LogPosition
from .auditor import Auditor
from .entry import Entry
from .latencies import Latencies
from .reported_outcome import ReportedOutcome
from .write_gap import WriteGap


class LoadRun:
    """Audit, latencies and counts of one run.

    Parameters
    ----------
    clock : Clock
        Monotonic clock.

    Attributes
    ----------
    is_over : bool
        Whether sessions must stop.
    reverts : int
        Times that a proxy's configuration went back.
    changes_lost_or_doubled : int
        Accepted changes of resources that were not applied, or were applied twice.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.auditor = Auditor()
        self.write_gap = WriteGap()
        self.write_latencies = Latencies()
        self.read_latencies = Latencies()
        self.direct_latencies = Latencies()
        self.is_over = False
        self.read_count = 0
        self.replica_read_count = 0
        self.aged_read_count = 0
        self.replica_aged_read_count = 0
        self.refused_reads = 0
        self.unsent_requests = 0
        self.reverts = 0
        self.changes_lost_or_doubled = 0
        self.refusals_by_number: dict[int, int] = {}
        self.details: dict[str, float] = {}
        self._phase_latencies = Latencies()
        self._acknowledged_at: list[timedelta] = []

    def record_acknowledgement(
        self, entry: Entry, position: LogPosition | None, started: timedelta
    ) -> None:
        """Record an acknowledged write."""
        now = self.clock.now()
        self.auditor.record_outcome(entry, ReportedOutcome.ACKNOWLEDGED, position)
        self._acknowledged_at.append(now)
        self.write_latencies.record(now - started)
        self._phase_latencies.record(now - started)
        if position is not None:
            self.write_gap.record_acknowledgement(position.term, now)

    def start_phase(self) -> None:
        """Start to measure write latencies of one phase of the run."""
        self._phase_latencies = Latencies()

    def end_phase(self, name: str) -> None:
        """Store the figures of the phase in the details under ``name``."""
        latencies = self._phase_latencies
        self.details[f"{name}_acknowledged"] = latencies.count
        self.details[f"{name}_p50_ms"] = latencies.percentile_ms(50)
        self.details[f"{name}_p99_ms"] = latencies.percentile_ms(99)

    def compute_longest_pause_ms(self) -> float:
        """Return the longest time between two successive acknowledgements."""
        moments = self._acknowledged_at
        pairs = zip(moments, moments[1:], strict=False)
        longest = max((end - start for start, end in pairs), default=timedelta(0))
        return longest / timedelta(milliseconds=1)

    def record_read(self, from_replica: bool, started: timedelta) -> None:
        """Record an answered read."""
        self.read_count += 1
        self.replica_read_count += from_replica
        self.read_latencies.record(self.clock.now() - started)

    def record_refusal(self, number: int) -> None:
        """Count a failed request by the proxy's result number, 0 for other errors."""
        count = self.refusals_by_number.get(number, 0)
        self.refusals_by_number[number] = count + 1

    def count_acknowledged_until(self, moment: timedelta) -> int:
        """Return the number of writes acknowledged at or before ``moment``."""
        return bisect_right(self._acknowledged_at, moment)
