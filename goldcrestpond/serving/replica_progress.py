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

    __slots__ = ("_backoff", "_epoch", "_lagging_until", "position")

    def __init__(self) -> None:
        self.position: LogPosition | None = None
        self._epoch = 0
        self._backoff = BACKOFF_FIRST
        self._lagging_until = timedelta.min

    def answered(self, position: LogPosition, epoch: int) -> None:
        """Take in the position of an answer to a read that had its floor."""
        self._enter(epoch)
        if self.position is None or position > self.position:
            self.position = position
        self._backoff = max(BACKOFF_FIRST, self._backoff / 2)
        self._lagging_until = timedelta.min

    def lagged(self, epoch: int, now: timedelta) -> None:
        """Take in that it lacked a floor."""
        self._enter(epoch)
        self._lagging_until = now + self._backoff
        self._backoff = min(BACKOFF_LIMIT, self._backoff * 2)

    def may_have(self, floor: LogPosition, epoch: int, now: timedelta) -> bool:
        """Return whether asking it for a floor is worth a round trip."""
        if epoch == self._epoch and self.position is not None:
            if floor <= self.position:
                return True
        return now >= self._lagging_until

    def _enter(self, epoch: int) -> None:
        if epoch != self._epoch:
            self._epoch = epoch
            self.position = None
