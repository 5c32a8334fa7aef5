"""Whether a replica is expected to have a position."""

from datetime import timedelta

from ..group.log_position import LogPosition

BACKOFF_FIRST = timedelta(milliseconds=10)  # about the lag of a healthy replica
BACKOFF_LIMIT = timedelta(milliseconds=320)


class ReplicaProgress:
    """What answers of one database have shown of its log.

    Attributes
    ----------
    position : LogPosition or None
        Highest position seen in the present epoch.
    """

    __slots__ = ("_backoff", "_epoch", "_lacked", "_lagging_until", "position")

    def __init__(self) -> None:
        self.position: LogPosition | None = None
        self._epoch = 0
        self._backoff = BACKOFF_FIRST
        self._lagging_until = timedelta.min
        self._lacked: LogPosition | None = None

    def record_answer(self, position: LogPosition, epoch: int) -> None:
        """Take in the position of an answer to a read that had its floor."""
        self._enter(epoch)
        if self.position is None or position > self.position:
            self.position = position
        self._backoff = max(BACKOFF_FIRST, self._backoff / 2)

    def lagged(self, min_position: LogPosition, epoch: int, now: timedelta) -> None:
        """Take in that it lacked a floor."""
        self._enter(epoch)
        is_over = self._lacked is None or now >= self._lagging_until
        self._lacked = min_position if is_over else min(self._lacked, min_position)
        self._lagging_until = now + self._backoff
        self._backoff = min(BACKOFF_LIMIT, self._backoff * 2)

    def may_have(self, min_position: LogPosition, epoch: int, now: timedelta) -> bool:
        """Return whether asking it for a floor is worth a round trip.

        Lower floors than the one that it lacked are worth it: reads of a stated age
        have them, while a session's own last commit is at the head of the log.
        """
        if epoch == self._epoch and self.position is not None:
            if min_position <= self.position:
                return True
        if epoch == self._epoch and self._lacked is not None:
            if min_position < self._lacked:
                return True
        return now >= self._lagging_until

    def _enter(self, epoch: int) -> None:
        if epoch != self._epoch:
            self._epoch = epoch
            self.position = None
            self._lacked = None
