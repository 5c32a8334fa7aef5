"""Tracks which log positions a database has reached."""

from datetime import timedelta

from ..group.log_position import LogPosition

INITIAL_BACKOFF = timedelta(milliseconds=10)  # about the lag of a healthy replica
MAX_BACKOFF = timedelta(milliseconds=320)


class ReplicaProgress:
    """Progress of the log of one database, as its answers have shown.

    Attributes
    ----------
    position : LogPosition or None
        Highest position seen in the current epoch.
    """

    __slots__ = (
        "_backoff",
        "_epoch",
        "_lagging_until",
        "_missing_position",
        "position",
    )

    def __init__(self) -> None:
        self.position: LogPosition | None = None
        self._epoch = 0
        self._backoff = INITIAL_BACKOFF
        self._lagging_until = timedelta.min
        self._missing_position: LogPosition | None = None

    def record_answer(self, position: LogPosition, epoch: int) -> None:
        """Record the position of an answer to a read or of a leader check."""
        self._start_epoch(epoch)
        if self.position is None or position > self.position:
            self.position = position
        self._backoff = max(INITIAL_BACKOFF, self._backoff / 2)

    def record_missing_position(
        self, min_position: LogPosition, epoch: int, now: timedelta
    ) -> None:
        """Record that the database had not reached a read's minimum position."""
        self._start_epoch(epoch)
        is_backoff_over = self._missing_position is None or now >= self._lagging_until
        self._missing_position = (
            min_position
            if is_backoff_over
            else min(self._missing_position, min_position)
        )
        self._lagging_until = now + self._backoff
        self._backoff = min(MAX_BACKOFF, self._backoff * 2)

    def has_reached(self, position: LogPosition, epoch: int) -> bool:
        """Return whether an answer in an epoch has shown a position, or a later one."""
        return (
            epoch == self._epoch
            and self.position is not None
            and position <= self.position
        )

    def position_in(self, epoch: int) -> LogPosition | None:
        """Return the highest position that answers in an epoch have shown."""
        return self.position if epoch == self._epoch else None

    def may_have_reached(
        self, min_position: LogPosition, epoch: int, now: timedelta
    ) -> bool:
        """Return whether a read with a minimum position is worth a round trip.

        During the back-off, positions below the one that was missing are still worth
        it: reads with a maximum age need only those, while the last commit of a session
        is at the head of the log.
        """
        if epoch == self._epoch and self.position is not None:
            if min_position <= self.position:
                return True
        if epoch == self._epoch and self._missing_position is not None:
            if min_position < self._missing_position:
                return True
        return now >= self._lagging_until

    def _start_epoch(self, epoch: int) -> None:
        if epoch != self._epoch:
            self._epoch = epoch
            self.position = None
            self._missing_position = None
