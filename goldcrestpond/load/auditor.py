"""Records every write of a run and compares it with the surviving database."""

from collections import Counter
from collections.abc import Iterable, Sequence

from ..group.log_position import LogPosition
from .audit import Audit
from .entry import Entry
from .reported_outcome import ReportedOutcome


class Auditor:
    """Records the writes of a run with their reported outcomes; checks reads.

    Attributes
    ----------
    entries : dict of tuple to Entry
        Every write, keyed by session and number.
    acknowledged_count : int
        Writes acknowledged so far.
    stale_reads : int
        Reads that lacked a write that they had to include.
    crossed_reads : int
        Reads that received the answer to another caller's request.
    """

    def __init__(self):
        self.entries: dict[tuple[str, int], Entry] = {}
        self.acknowledged_count = 0
        self.stale_reads = 0
        self.crossed_reads = 0
        self._last_acknowledged_numbers: Counter[str] = Counter()

    def record_attempt(self, session: str, number: int, part_count: int = 1) -> Entry:
        """Record a write before it is sent."""
        entry = Entry(session, number, part_count)
        self.entries[session, number] = entry
        return entry

    def record_outcome(
        self,
        entry: Entry,
        reported_outcome: ReportedOutcome,
        position: LogPosition | None = None,
    ) -> None:
        """Record the outcome of a write that the caller received."""
        entry.reported_outcome = reported_outcome
        entry.position = position
        if reported_outcome is ReportedOutcome.ACKNOWLEDGED:
            self.acknowledged_count += 1
            last = self._last_acknowledged_numbers[entry.session]
            self._last_acknowledged_numbers[entry.session] = max(last, entry.number)

    def get_last_acknowledged(self, session: str) -> int:
        """Return the number of the session's last acknowledged write, 0 for none.

        If taken before a read is sent, the read must show at least this number.
        """
        return self._last_acknowledged_numbers[session]

    def check_own_read(
        self, session: str, answered_session: str, required: int, shown: int
    ) -> None:
        """Check a session's read of the highest number that it wrote."""
        if answered_session != session:
            self.crossed_reads += 1
        elif shown < required:
            self.stale_reads += 1

    def check_count(self, required: int, shown: int) -> None:
        """Check a read of the count of all entries against the least allowed."""
        if shown < required:
            self.stale_reads += 1

    def compare(
        self, rows: Iterable[tuple[str, int, int]], log_terms: Sequence[int] = ()
    ) -> Audit:
        """Compare the recorded writes with the surviving database.

        Parameters
        ----------
        rows : iterable of tuple
            Session, number and part of each row in the surviving database.
        log_terms : sequence of int, default=()
            Term of each entry of the surviving log; if empty, acknowledgements
            by replaced primaries are not counted.
        """
        found = Counter(tuple(row) for row in rows)
        parts = Counter((session, number) for session, number, _ in found)
        doubled = {key[:2] for key, count in found.items() if count > 1}
        audit = Audit(doubled=len(doubled))
        audit.unrequested = len(parts.keys() - self.entries.keys())
        for key, entry in self.entries.items():
            _count_outcome(audit, entry, parts[key])
            if log_terms and _is_of_replaced_primary(entry, log_terms):
                audit.acknowledged_by_replaced += 1
        return audit


def _count_outcome(audit: Audit, entry: Entry, present_parts: int) -> None:
    if entry.reported_outcome is ReportedOutcome.ACKNOWLEDGED:
        audit.acknowledged += 1
        audit.lost += present_parts == 0
    elif entry.reported_outcome is ReportedOutcome.NOT_RUN:
        audit.refused += 1
        audit.not_run_but_ran += present_parts > 0
    else:
        audit.unknown += 1
    audit.torn += 0 < present_parts < entry.part_count


def _is_of_replaced_primary(entry: Entry, log_terms: Sequence[int]) -> bool:
    if (
        entry.reported_outcome is not ReportedOutcome.ACKNOWLEDGED
        or entry.position is None
    ):
        return False
    index = entry.position.position - 1
    return index >= len(log_terms) or log_terms[index] != entry.position.term
