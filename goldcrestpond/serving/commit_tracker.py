"""What one process knows of the acknowledged commits of a service."""

from datetime import timedelta

from ..group.log_position import LogPosition

# A seal outlasts the use of a claim and a promotion that it was made for; whoever
# gives up releases it sooner.
BLOCK_LIFETIME = timedelta(milliseconds=3500)


class CommitTracker:
    """Commits that this process sent to the databases of one service.

    Attributes
    ----------
    acknowledged : LogPosition or None
        No commit that this process saw acknowledged lies above it, nor one of a
        former process in its place; None until a database has proved that it leads.
    """

    __slots__ = ("_in_flight", "_sealed_epoch", "_sealed_until", "acknowledged")

    def __init__(self) -> None:
        self.acknowledged: LogPosition | None = None
        self._in_flight = 0
        self._sealed_epoch = 0
        self._sealed_until = timedelta.min

    @property
    def is_idle(self) -> bool:
        """Whether no commit is under way."""
        return not self._in_flight

    def record_leader_position(self, position: LogPosition) -> None:
        """Take in the leader's position, proved by this process.

        The first one covers what a former process in this one's place saw.
        """
        if self.acknowledged is None:
            self.acknowledged = position

    def record_commit_sent(self) -> None:
        """Take in that a commit is about to be sent."""
        self._in_flight += 1

    def record_answer(self, position: LogPosition) -> None:
        """Take in that a commit was acknowledged."""
        self.acknowledged = max(position, self.acknowledged or position)

    def record_commit_ended(self) -> None:
        """Take in that a commit is no longer under way."""
        self._in_flight -= 1

    def block_commits(self, epoch: int, now: timedelta) -> None:
        """Send no more commits to the leader of an epoch, for a while."""
        self._sealed_epoch = epoch
        self._sealed_until = now + BLOCK_LIFETIME

    def unblock_commits(self) -> None:
        """End a seal before its time."""
        self._sealed_until = timedelta.min

    def is_blocked(self, epoch: int, now: timedelta) -> bool:
        """Return whether commits to the leader of an epoch are held back."""
        return epoch == self._sealed_epoch and now < self._sealed_until
