"""Tracks the acknowledged commits of one service in this process."""

from datetime import timedelta

from ..group.log_position import LogPosition

# Longer than the time for which a claim may be used and that of a promotion together.
# A failover that is given up unblocks commits earlier.
BLOCK_LIFETIME = timedelta(milliseconds=3500)


class CommitTracker:
    """Commits that this process sent to the databases of one service.

    Attributes
    ----------
    acknowledged : LogPosition or None
        Upper limit of the acknowledged commits that this process, or an earlier
        process of this instance, has sent; None until this process has verified a
        leader.
    """

    __slots__ = ("_blocked_epoch", "_blocked_until", "_in_flight", "acknowledged")

    def __init__(self) -> None:
        self.acknowledged: LogPosition | None = None
        self._in_flight = 0
        self._blocked_epoch = 0
        self._blocked_until = timedelta.min

    @property
    def is_idle(self) -> bool:
        """Whether no commit is in flight."""
        return not self._in_flight

    def record_leader_position(self, position: LogPosition) -> None:
        """Record the position of a leader that this process has verified.

        Only the first position counts: no commit that an earlier process of this
        instance saw acknowledged lies above it.
        """
        if self.acknowledged is None:
            self.acknowledged = position

    def record_commit_sent(self) -> None:
        """Record that a commit is about to be sent."""
        self._in_flight += 1

    def record_answer(self, position: LogPosition) -> None:
        """Record that a commit was acknowledged at a position."""
        self.acknowledged = max(position, self.acknowledged or position)

    def record_commit_ended(self) -> None:
        """Record that a commit is no longer in flight, whatever its outcome."""
        self._in_flight -= 1

    def block_commits(self, epoch: int, now: timedelta) -> None:
        """Block commits to the leader of an epoch for ``BLOCK_LIFETIME``."""
        self._blocked_epoch = epoch
        self._blocked_until = now + BLOCK_LIFETIME

    def unblock_commits(self) -> None:
        """Unblock commits before the block expires."""
        self._blocked_until = timedelta.min

    def is_blocked(self, epoch: int, now: timedelta) -> bool:
        """Return whether commits to the leader of an epoch are blocked."""
        return epoch == self._blocked_epoch and now < self._blocked_until
