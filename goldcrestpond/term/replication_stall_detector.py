"""Detects a primary whose commits no longer reach its replicas."""

from datetime import timedelta

from .group_view import GroupView

# Minimum time without progress after which replication counts as stalled; the
# limit is higher if replicas typically take long to receive entries.
STALL_LIMIT = timedelta(milliseconds=400)
TYPICAL_WAIT_FACTOR = 3
# The typical wait shrinks by this factor with each faster receipt.
TYPICAL_WAIT_DECAY = 0.95
# A replica that has not answered within this time may be down, not cut off.
ANSWER_LIFETIME = timedelta(milliseconds=500)


class ReplicationStallDetector:
    """Measures how long a primary's newest entries wait for a majority.

    A primary may answer every poll and yet be cut off from its replicas. Its
    commits can't be confirmed then, so another database must be promoted.
    """

    __slots__ = (
        "_is_first_wait",
        "_replicated_position",
        "_term",
        "_typical_wait",
        "_waiting_since",
    )

    def __init__(self):
        self._term = 0
        self._replicated_position = 0
        self._waiting_since: timedelta | None = None
        self._typical_wait = timedelta(0)
        self._is_first_wait = True

    def observe(self, view: GroupView, now: timedelta) -> None:
        """Update the wait after a change of the view."""
        primary = view.primary()
        if primary is None:
            self._waiting_since = None
            return
        replicated = view.replicated_position()
        if primary.status.term != self._term:
            self._term = primary.status.term
            self._waiting_since = None
            self._is_first_wait = True
        elif replicated > self._replicated_position and self._waiting_since is not None:
            self._record_wait(now - self._waiting_since)
            self._waiting_since = None
        self._replicated_position = replicated
        if primary.status.position <= replicated:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = now

    def _record_wait(self, wait: timedelta) -> None:
        """Update the typical wait, except by the first wait of a term.

        That one includes the time in which replicas start to follow the primary.
        """
        if not self._is_first_wait:
            self._typical_wait = max(self._typical_wait * TYPICAL_WAIT_DECAY, wait)
        self._is_first_wait = False

    def is_stalled(self, view: GroupView, now: timedelta) -> bool:
        """Return whether entries wait too long although enough replicas answer.

        The replicas that answer must be a majority of the group by themselves,
        without the primary, so that one of them can be promoted.
        """
        if self._waiting_since is None:
            return False
        limit = max(STALL_LIMIT, TYPICAL_WAIT_FACTOR * self._typical_wait)
        if now - self._waiting_since < limit:
            return False
        primary = view.primary()
        answering = [
            sample
            for sample in view.samples()
            if sample is not primary and now - sample.received_at <= ANSWER_LIFETIME
        ]
        return len(answering) >= view.majority
