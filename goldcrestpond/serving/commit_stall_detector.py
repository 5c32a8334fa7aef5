"""Detects that the leader's commits no longer reach any replica."""

from datetime import timedelta

# If a commit has waited this long and no other one was answered meanwhile, no replica
# is assumed to receive it. The write and its receipt normally take a tenth of this.
STALL_AFTER = timedelta(milliseconds=400)
STALLED_COMMITS_MIN = 2  # the answer of a single one may have been lost
# While commits are stalled, one write is sent in each interval, to detect the end.
TRIAL_INTERVAL = timedelta(milliseconds=300)


class CommitStallDetector:
    """Watches the unanswered commits of one service.

    While commits are stalled, further writes should not be sent: each would occupy a
    connection to the leader, and its outcome would be unknown.
    """

    __slots__ = (
        "_last_answer_at",
        "_last_trial_at",
        "_next_id",
        "_unanswered",
        "_waiting",
    )

    def __init__(self) -> None:
        self._waiting: dict[int, timedelta] = {}
        self._next_id = 1
        self._last_answer_at: timedelta | None = None
        self._last_trial_at: timedelta | None = None
        self._unanswered = 0

    def record_commit_sent(self, now: timedelta) -> int:
        """Record that a write or commit is sent; return its id in this object."""
        commit_id = self._next_id
        self._next_id += 1
        self._waiting[commit_id] = now
        return commit_id

    def record_answer(self, commit_id: int, now: timedelta) -> None:
        """Record any answer to a commit."""
        if self._waiting.pop(commit_id, None) is not None:
            self._last_answer_at = now
            self._unanswered = 0

    def record_commit_abandoned(self, commit_id: int) -> None:
        """Record that the answer to a commit is no longer waited for."""
        if self._waiting.pop(commit_id, None) is not None:
            self._unanswered += 1

    def reset(self) -> None:
        """Discard all commits; called when another database leads."""
        self._unanswered = 0
        self._last_answer_at = None
        self._waiting.clear()

    def is_stalled(self, now: timedelta) -> bool:
        """Return whether commits are assumed to reach no replica."""
        since = self._last_answer_at
        if since is not None and now - since < STALL_AFTER:
            return False
        late = sum(now - sent_at >= STALL_AFTER for sent_at in self._waiting.values())
        return late + self._unanswered >= STALLED_COMMITS_MIN

    def try_admit_write(self, now: timedelta) -> bool:
        """Return whether a write may be sent.

        While commits are stalled, admits one write per ``TRIAL_INTERVAL`` as a trial.
        """
        if not self.is_stalled(now):
            return True
        if (
            self._last_trial_at is not None
            and now - self._last_trial_at < TRIAL_INTERVAL
        ):
            return False
        self._last_trial_at = now
        return True
