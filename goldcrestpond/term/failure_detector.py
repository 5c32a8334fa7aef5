"""Decides when a primary is taken to be dead."""

from datetime import timedelta

from .failure_kind import FailureKind
from .primary_health import PrimaryHealth

# Two refusals this far apart: a listener that restarts in between answers.
REFUSED_CONFIRMATION = timedelta(milliseconds=60)
# Silence on a fresh connection counts only after this much silence in all.
SILENCE_LIMIT = timedelta(milliseconds=400)
# While replicas still receive from it, only this instance may be cut off:
# others can serve, so it waits longer before it disturbs them.
ISOLATION_LIMIT = timedelta(milliseconds=2500)
# Entries received this recently speak for a primary that still sends.
PROGRESS_LIFETIME = timedelta(milliseconds=300)


class FailureDetector:
    """Evidence on one primary in one term.

    One slow poll is no evidence of death: the detector asks for a fresh
    connection, and only its failure counts. An answer clears everything.

    Parameters
    ----------
    database : str
        Name of the primary.
    term : int
        Its term.
    now : timedelta
        Monotonic reading.
    """

    __slots__ = (
        "_first_failure_at",
        "_first_refusal_at",
        "_is_fresh_silent",
        "_last_answer_at",
        "_last_refusal_at",
        "_progress_at",
        "database",
        "term",
    )

    def __init__(self, database: str, term: int, now: timedelta):
        self.database = database
        self.term = term
        self._progress_at: timedelta | None = None
        self.answered(now)

    def answered(self, sent_at: timedelta) -> None:
        """Record an answer to a poll that was sent at ``sent_at``."""
        self._last_answer_at = sent_at
        self._first_failure_at: timedelta | None = None
        self._first_refusal_at: timedelta | None = None
        self._last_refusal_at: timedelta | None = None
        self._is_fresh_silent = False

    def record_failure(self, kind: FailureKind, now: timedelta) -> None:
        """Record a failed attempt."""
        if self._first_failure_at is None:
            self._first_failure_at = now
        if kind is FailureKind.REFUSED:
            if self._first_refusal_at is None:
                self._first_refusal_at = now
            self._last_refusal_at = now
        elif kind is FailureKind.SILENT_FRESH:
            self._is_fresh_silent = True

    def replica_progressed(self, now: timedelta) -> None:
        """Record that a replica received entries of the primary's term."""
        self._progress_at = now

    def primary_health(self, now: timedelta) -> PrimaryHealth:
        """Return the judgement at ``now``."""
        if self._first_failure_at is None:
            return PrimaryHealth.ALIVE
        if self._is_refused():
            return PrimaryHealth.DEAD
        if self._is_fresh_silent and self._is_silent_too_long(now):
            return PrimaryHealth.DEAD
        return PrimaryHealth.SUSPECT

    def _is_refused(self) -> bool:
        if self._first_refusal_at is None or self._last_refusal_at is None:
            return False
        return self._last_refusal_at - self._first_refusal_at >= REFUSED_CONFIRMATION

    def _is_silent_too_long(self, now: timedelta) -> bool:
        silence = now - self._last_answer_at
        if silence >= ISOLATION_LIMIT:
            return True
        if self._has_recent_progress(now):
            return False
        return silence >= SILENCE_LIMIT

    def _has_recent_progress(self, now: timedelta) -> bool:
        if self._progress_at is None:
            return False
        return now - self._progress_at <= PROGRESS_LIFETIME
