"""Judges the primary of a group from samples and failures."""

from datetime import timedelta

from ..group.database_status import DatabaseStatus
from .failure_detector import FailureDetector
from .failure_kind import FailureKind
from .group_view import GroupView
from .primary_health import PrimaryHealth
from .replaced_primary import ReplacedPrimary
from .replication_stall import ReplicationStall
from .status_sample import StatusSample

_ANSWERING = (PrimaryHealth.ALIVE, PrimaryHealth.STALLED)


class PrimaryMonitor:
    """Evidence on the present primary, whichever database that is.

    Parameters
    ----------
    view : GroupView
        Newest statuses; each sample is taken in there first.
    """

    __slots__ = ("_detector", "_received", "_stall", "_view", "_watched")

    def __init__(self, view: GroupView):
        self._view = view
        self._stall = ReplicationStall()
        self._detector: FailureDetector | None = None
        self._watched: DatabaseStatus | None = None
        self._received: dict[str, tuple[int, int]] = {}

    def observe(self, sample: StatusSample, now: timedelta) -> ReplacedPrimary | None:
        """Take in a sample that the view has taken in.

        Returns
        -------
        ReplacedPrimary or None
            News that the watched primary was replaced; told once.
        """
        replaced = self._find_replaced(now)
        self._judge(sample)
        self._note_progress(sample, now)
        self._stall.observe(self._view, now)
        return replaced

    def record_failure(self, database: str, kind: FailureKind, now: timedelta) -> None:
        """Take in a failed attempt to reach a database."""
        if self._detector is not None and self._detector.database == database:
            self._detector.record_failure(kind, now)

    def primary_health(self, now: timedelta) -> PrimaryHealth:
        """Return the judgement on the primary at ``now``."""
        if self._detector is None:
            return PrimaryHealth.SUSPECT
        primary_health = self._detector.primary_health(now)
        if primary_health is not PrimaryHealth.DEAD and self._stall.is_stalled(
            self._view, now
        ):
            return PrimaryHealth.STALLED
        return primary_health

    def _find_replaced(self, now: timedelta) -> ReplacedPrimary | None:
        replaced = None
        watched = self._watched
        first_term = self._view.first_open_term()
        if watched is not None and watched.term < first_term:
            is_answering = self.primary_health(now) in _ANSWERING
            replaced = ReplacedPrimary(watched.database, first_term, is_answering)
            self._watched = None
        primary = self._view.primary()
        if primary is not None:
            self._watched = primary.status
        return replaced

    def _judge(self, sample: StatusSample) -> None:
        primary = self._view.primary()
        if primary is None:
            return
        database, term = primary.status.database, primary.status.term
        detector = self._detector
        if detector is None or (detector.database, detector.term) != (database, term):
            self._detector = FailureDetector(database, term, primary.sent_at)
        elif sample is primary:
            detector.answered(sample.sent_at)

    def _note_progress(self, sample: StatusSample, now: timedelta) -> None:
        """Take entries that a replica received as a sign of its primary's life."""
        status = sample.status
        known = self._received.get(status.database)
        self._received[status.database] = (status.term, status.position)
        detector = self._detector
        if detector is None or known is None or status.database == detector.database:
            return
        if status.term == known[0] == detector.term and status.position > known[1]:
            detector.replica_progressed(now)
