"""Notices a primary whose commits no longer reach its replicas."""

from datetime import timedelta

from .group_view import GroupView

# Replicas that received nothing for this long, and for longer than they
# usually take, are taken to be cut off from their primary.
STALL_LIMIT = timedelta(milliseconds=400)
USUAL_FACTOR = 3
# A slow receipt is remembered over about this many faster ones.
DECAY = 0.95
# The replicas must have answered lately: else they are missing, not cut off.
ANSWER_LIFETIME = timedelta(milliseconds=500)


class ReplicationStall:
    """Time since a primary's newest entries wait to be received.

    A primary may answer every poll and yet be cut off from its replicas: its
    commits can never be confirmed, and only a promotion helps.
    """

    __slots__ = ("_confirmed", "_is_first_wait", "_since", "_term", "_usual")

    def __init__(self):
        self._term = 0
        self._confirmed = 0
        self._since: timedelta | None = None
        self._usual = timedelta(0)
        self._is_first_wait = True

    def observe(self, view: GroupView, now: timedelta) -> None:
        """Take in a change of the view."""
        primary = view.primary()
        if primary is None:
            self._since = None
            return
        confirmed = view.replicated_position()
        if primary.status.term != self._term:
            self._term = primary.status.term
            self._since = None
            self._is_first_wait = True
        elif confirmed > self._confirmed and self._since is not None:
            self._learn(now - self._since)
            self._since = None
        self._confirmed = confirmed
        if primary.status.position <= confirmed:
            self._since = None
        elif self._since is None:
            self._since = now

    def _learn(self, wait: timedelta) -> None:
        """Remember a wait, but not a term's first: replicas begin to follow."""
        if not self._is_first_wait:
            self._usual = max(self._usual * DECAY, wait)
        self._is_first_wait = False

    def is_stalled(self, view: GroupView, now: timedelta) -> bool:
        """Return whether the primary is taken to be cut off from its replicas."""
        if self._since is None:
            return False
        limit = max(STALL_LIMIT, USUAL_FACTOR * self._usual)
        if now - self._since < limit:
            return False
        primary = view.primary()
        answering = [
            sample
            for sample in view.samples()
            if sample is not primary and now - sample.received_at <= ANSWER_LIFETIME
        ]
        return len(answering) >= view.majority
