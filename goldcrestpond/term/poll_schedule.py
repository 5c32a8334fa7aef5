"""When to ask a database for its status."""

from datetime import timedelta

# A group that serves requests is asked at this rate by each of its holders.
ACTIVE_INTERVAL = timedelta(milliseconds=200)
# One that serves none only has to be ready when the next request comes.
IDLE_INTERVAL = timedelta(seconds=2)
ACTIVITY_LIFETIME = timedelta(seconds=5)
# While the primary is in doubt, its recovery and its successor are looked for.
SUSPECT_INTERVAL = timedelta(milliseconds=25)
# While commits wait, gaps grow from the first to the second.
CONFIRMATION_GAP = timedelta(milliseconds=1)
CONFIRMATION_GAP_LIMIT = timedelta(milliseconds=16)


class PollSchedule:
    """Time of the next poll of one database.

    The rate follows the requests: with none, a poll every ``IDLE_INTERVAL``.
    """

    __slots__ = ("_active_at", "_demanded_at", "_gap", "_last_sent_at")

    def __init__(self):
        self._last_sent_at: timedelta | None = None
        self._demanded_at: timedelta | None = None
        self._active_at: timedelta | None = None
        self._gap = CONFIRMATION_GAP

    def note_activity(self, now: timedelta) -> None:
        """Record that a request used the group."""
        self._active_at = now

    def request_poll(self, now: timedelta) -> None:
        """Ask for a status sampled at ``now`` or later."""
        self._demanded_at = now
        self._active_at = now
        self._gap = CONFIRMATION_GAP

    def record_poll_sent(self, now: timedelta) -> None:
        """Record that a poll is sent at ``now``."""
        self._last_sent_at = now
        self._gap = min(2 * self._gap, CONFIRMATION_GAP_LIMIT)

    def next_poll_at(self, *, is_awaited: bool, is_suspect: bool) -> timedelta:
        """Return the reading at which the next poll is due.

        Parameters
        ----------
        is_awaited : bool
            Whether commits wait for the position of this database.
        is_suspect : bool
            Whether the group's primary is in doubt.
        """
        last = self._last_sent_at
        if last is None:
            return timedelta(0)
        if self._demanded_at is not None and self._demanded_at > last:
            return self._demanded_at
        interval = self._interval(last)
        if is_suspect:
            interval = min(interval, SUSPECT_INTERVAL)
        if is_awaited:
            interval = min(interval, self._gap)
        return last + interval

    def _interval(self, last: timedelta) -> timedelta:
        is_active = (
            self._active_at is not None and last - self._active_at <= ACTIVITY_LIFETIME
        )
        return ACTIVE_INTERVAL if is_active else IDLE_INTERVAL
