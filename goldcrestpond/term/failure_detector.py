"""Decides when a primary counts as dead."""

from datetime import timedelta

from .failure_kind import FailureKind
from .primary_health import PrimaryHealth

# Refusals must last this long: a restarted listener accepts sooner.
REFUSAL_CONFIRMATION_TIME = timedelta(milliseconds=60)
# Minimum time without an answer before a timeout on a fresh connection counts.
NO_ANSWER_LIMIT = timedelta(milliseconds=400)
# While replicas still receive entries from the primary, perhaps only this
# instance cannot reach it. The instance then waits this long, so that it does not
# start a promotion while the primary still serves other instances.
ISOLATION_LIMIT = timedelta(milliseconds=2500)
# Entries that a replica received this recently show that the primary still sends.
PROGRESS_LIFETIME = timedelta(milliseconds=300)


class FailureDetector:
    """Collects the answers and failures of one primary in one term.

    One slow poll does not make a primary dead: it becomes suspect, which makes
    the caller poll over a fresh connection. The primary counts as dead if that
    poll times out too, or if connections are refused for long enough. An answer
    clears all recorded failures.

    Parameters
    ----------
    database : str
        Name of the primary.
    term : int
        Its term.
    now : timedelta
        Monotonic time; counts as the time of the first answer.
    """

    __slots__ = (
        "_first_failure_at",
        "_first_refusal_at",
        "_has_fresh_timeout",
        "_last_answer_at",
        "_last_progress_at",
        "_last_refusal_at",
        "database",
        "term",
    )

    def __init__(self, database: str, term: int, now: timedelta):
        self.database = database
        self.term = term
        self._last_progress_at: timedelta | None = None
        self.record_answer(now)

    def record_answer(self, sent_at: timedelta) -> None:
        """Record an answer to a poll that was sent at ``sent_at``."""
        self._last_answer_at = sent_at
        self._first_failure_at: timedelta | None = None
        self._first_refusal_at: timedelta | None = None
        self._last_refusal_at: timedelta | None = None
        self._has_fresh_timeout = False

    def record_failure(self, kind: FailureKind, now: timedelta) -> None:
        """Record a failed attempt to reach the primary."""
        if self._first_failure_at is None:
            self._first_failure_at = now
        if kind is FailureKind.REFUSED:
            if self._first_refusal_at is None:
                self._first_refusal_at = now
            self._last_refusal_at = now
        elif kind is FailureKind.SILENT_FRESH:
            self._has_fresh_timeout = True

    def record_replica_progress(self, now: timedelta) -> None:
        """Record that a replica received entries of the primary's term."""
        self._last_progress_at = now

    def primary_health(self, now: timedelta) -> PrimaryHealth:
        """Return whether the primary counts as alive, suspect or dead at ``now``."""
        if self._first_failure_at is None:
            return PrimaryHealth.ALIVE
        if self._is_refused():
            return PrimaryHealth.DEAD
        if self._has_fresh_timeout and self._is_unanswered_too_long(now):
            return PrimaryHealth.DEAD
        return PrimaryHealth.SUSPECT

    def _is_refused(self) -> bool:
        if self._first_refusal_at is None or self._last_refusal_at is None:
            return False
        return (
            self._last_refusal_at - self._first_refusal_at >= REFUSAL_CONFIRMATION_TIME
        )

    def _is_unanswered_too_long(self, now: timedelta) -> bool:
        time_since_answer = now - self._last_answer_at
        if time_since_answer >= ISOLATION_LIMIT:
            return True
        if self._has_recent_progress(now):
            return False
        return time_since_answer >= NO_ANSWER_LIMIT

    def _has_recent_progress(self, now: timedelta) -> bool:
        if self._last_progress_at is None:
            return False
        return now - self._last_progress_at <= PROGRESS_LIFETIME
