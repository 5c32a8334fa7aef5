"""Monitors the health of a group's primary from poll results."""

from datetime import timedelta

from ..group.database_status import DatabaseStatus
from .failure_detector import FailureDetector
from .failure_kind import FailureKind
from .group_view import GroupView
from .primary_health import PrimaryHealth
from .replaced_primary import ReplacedPrimary
from .replication_stall_detector import ReplicationStallDetector
from .status_sample import StatusSample

_ANSWERING_STATES = (PrimaryHealth.ALIVE, PrimaryHealth.STALLED)


class PrimaryMonitor:
    """Tracks which database is the primary and whether it works.

    Parameters
    ----------
    view : GroupView
        Newest statuses; the caller records each sample there first.
    """

    __slots__ = (
        "_detector",
        "_last_primary_status",
        "_replica_positions",
        "_stall",
        "_view",
    )

    def __init__(self, view: GroupView):
        self._view = view
        self._stall = ReplicationStallDetector()
        self._detector: FailureDetector | None = None
        self._last_primary_status: DatabaseStatus | None = None
        self._replica_positions: dict[str, tuple[int, int]] = {}

    def observe(self, sample: StatusSample, now: timedelta) -> ReplacedPrimary | None:
        """Process a sample that the view has recorded.

        Returns
        -------
        ReplacedPrimary or None
            The last known primary if it was replaced; returned once for each.
        """
        replaced = self._find_replaced(now)
        self._update_detector(sample)
        self._record_replica_progress(sample, now)
        self._stall.observe(self._view, now)
        return replaced

    def record_failure(self, database: str, kind: FailureKind, now: timedelta) -> None:
        """Record a failed attempt to reach a database; only the primary's count."""
        if self._detector is not None and self._detector.database == database:
            self._detector.record_failure(kind, now)

    def primary_health(self, now: timedelta) -> PrimaryHealth:
        """Return the health of the primary at ``now``."""
        if self._detector is None:
            return PrimaryHealth.SUSPECT
        health = self._detector.primary_health(now)
        if health is not PrimaryHealth.DEAD and self._stall.is_stalled(self._view, now):
            return PrimaryHealth.STALLED
        return health

    def _find_replaced(self, now: timedelta) -> ReplacedPrimary | None:
        replaced = None
        previous = self._last_primary_status
        first_term = self._view.first_open_term()
        if previous is not None and previous.term < first_term:
            is_answering = self.primary_health(now) in _ANSWERING_STATES
            replaced = ReplacedPrimary(previous.database, first_term, is_answering)
            self._last_primary_status = None
        primary = self._view.primary()
        if primary is not None:
            self._last_primary_status = primary.status
        return replaced

    def _update_detector(self, sample: StatusSample) -> None:
        primary = self._view.primary()
        if primary is None:
            return
        database, term = primary.status.database, primary.status.term
        detector = self._detector
        if detector is None or (detector.database, detector.term) != (database, term):
            self._detector = FailureDetector(database, term, primary.sent_at)
        elif sample is primary:
            detector.record_answer(sample.sent_at)

    def _record_replica_progress(self, sample: StatusSample, now: timedelta) -> None:
        """Tell the detector if a replica received entries from the primary."""
        status = sample.status
        known = self._replica_positions.get(status.database)
        self._replica_positions[status.database] = (status.term, status.position)
        detector = self._detector
        if detector is None or known is None or status.database == detector.database:
            return
        if status.term == known[0] == detector.term and status.position > known[1]:
            detector.record_replica_progress(now)
