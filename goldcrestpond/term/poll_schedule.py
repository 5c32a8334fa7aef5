"""When to poll a database for its status."""

from datetime import timedelta

# Each instance that serves requests of a group polls its databases this often.
ACTIVE_INTERVAL = timedelta(milliseconds=200)
# An idle group only has to be known well enough for the next request.
IDLE_INTERVAL = timedelta(seconds=2)
# A group counts as active for this long after a request.
ACTIVITY_LIFETIME = timedelta(seconds=5)
# Short, to notice soon that the primary recovered or was replaced.
SUSPECT_INTERVAL = timedelta(milliseconds=25)
# While commits wait, the gap between polls doubles from `CONFIRMATION_GAP` up to
# `CONFIRMATION_GAP_LIMIT`.
CONFIRMATION_GAP = timedelta(milliseconds=1)
CONFIRMATION_GAP_LIMIT = timedelta(milliseconds=16)


class PollSchedule:
    """Computes the time of the next poll of one database.

    Without requests it polls every ``IDLE_INTERVAL``; requests, waiting commits
    and a suspect primary shorten the interval.
    """

    __slots__ = (
        "_active_at",
        "_confirmation_gap",
        "_last_sent_at",
        "_poll_requested_at",
    )

    def __init__(self):
        self._last_sent_at: timedelta | None = None
        self._poll_requested_at: timedelta | None = None
        self._active_at: timedelta | None = None
        self._confirmation_gap = CONFIRMATION_GAP

    def note_activity(self, now: timedelta) -> None:
        """Record that a request used the group."""
        self._active_at = now

    def request_poll(self, now: timedelta) -> None:
        """Request a poll that is sent at ``now`` or later, as soon as possible."""
        self._poll_requested_at = now
        self._active_at = now
        self._confirmation_gap = CONFIRMATION_GAP

    def record_poll_sent(self, now: timedelta) -> None:
        """Record that a poll is sent at ``now``, and double the confirmation gap."""
        self._last_sent_at = now
        self._confirmation_gap = min(2 * self._confirmation_gap, CONFIRMATION_GAP_LIMIT)

    def next_poll_at(self, *, is_awaited: bool, is_suspect: bool) -> timedelta:
        """Return the monotonic time at which the next poll is due.

        Parameters
        ----------
        is_awaited : bool
            Whether commits wait for the position of this database.
        is_suspect : bool
            Whether the group's primary may have failed.
        """
        last = self._last_sent_at
        if last is None:
            return timedelta(0)
        if self._poll_requested_at is not None and self._poll_requested_at > last:
            return self._poll_requested_at
        interval = self._interval(last)
        if is_suspect:
            interval = min(interval, SUSPECT_INTERVAL)
        if is_awaited:
            interval = min(interval, self._confirmation_gap)
        return last + interval

    def _interval(self, last: timedelta) -> timedelta:
        is_active = (
            self._active_at is not None and last - self._active_at <= ACTIVITY_LIFETIME
        )
        return ACTIVE_INTERVAL if is_active else IDLE_INTERVAL
