"""Notices a leader whose commits no longer reach a replica."""

from datetime import timedelta

# A commit that waits for so long, while none came through for as long, waits for the
# receipt of a replica: work and receipt take a tenth of it.
STALL_AFTER = timedelta(milliseconds=400)
# One alone may have lost its answer.
STALLED_COMMITS_MIN = 2
# While commits are stalled, one of them is let through after this time to find out.
TRIAL_INTERVAL = timedelta(milliseconds=300)


class CommitStallDetector:
    """Commits of one service that were sent and not answered.

    While they are stalled, further writes are better not sent: each would hold a
    connection of the leader, and its outcome would be unknown.
    """

    __slots__ = ("_last_success", "_next_id", "_tried_at", "_unanswered", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[int, timedelta] = {}
        self._next_id = 1
        self._last_success: timedelta | None = None
        self._tried_at: timedelta | None = None
        self._unanswered = 0

    def record_commit_sent(self, now: timedelta) -> int:
        """Take in that a write or commit is sent; return its number here."""
        number = self._next_id
        self._next_id += 1
        self._waiting[number] = now
        return number

    def record_answer(self, number: int, now: timedelta) -> None:
        """Take in that it was answered, whatever the answer."""
        if self._waiting.pop(number, None) is not None:
            self._last_success = now
            self._unanswered = 0

    def record_commit_abandoned(self, number: int) -> None:
        """Take in that its answer is no longer waited for."""
        if self._waiting.pop(number, None) is not None:
            self._unanswered += 1

    def reset(self) -> None:
        """Start anew with another leader."""
        self._unanswered = 0
        self._last_success = None
        self._waiting.clear()

    def is_stalled(self, now: timedelta) -> bool:
        """Return whether commits are taken to reach no replica."""
        since = self._last_success
        if since is not None and now - since < STALL_AFTER:
            return False
        late = sum(now - sent_at >= STALL_AFTER for sent_at in self._waiting.values())
        return late + self._unanswered >= STALLED_COMMITS_MIN

    def try_admit_write(self, now: timedelta) -> bool:
        """Return whether a write may be sent; while stalled, one now and then."""
        if not self.is_stalled(now):
            return True
        if self._tried_at is not None and now - self._tried_at < TRIAL_INTERVAL:
            return False
        self._tried_at = now
        return True
