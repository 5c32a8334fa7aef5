"""How long a database has taken lately."""

from datetime import timedelta

WEIGHT = 0.125  # follows a change within about ten answers
# Without answers the estimate halves in this time, so that a database that was slow
# is tried again.
HALF_LIFE = timedelta(milliseconds=500)


class RecentLatency:
    """Moving average of the time from asking for a connection to the answer.

    It shows what other instances make a database do, which no counter of this one
    does.
    """

    __slots__ = ("_mean", "_observed_at")

    def __init__(self) -> None:
        self._mean = timedelta(0)
        self._observed_at: timedelta | None = None

    def observe(self, elapsed: timedelta, now: timedelta) -> None:
        """Take in one answer."""
        if self._observed_at is None:
            self._mean = elapsed
        else:
            present = self.value(now)
            self._mean = present + (elapsed - present) * WEIGHT
        self._observed_at = now

    def value(self, now: timedelta) -> timedelta:
        """Return the estimate; zero before the first answer."""
        if self._observed_at is None:
            return self._mean
        return self._mean * 0.5 ** ((now - self._observed_at) / HALF_LIFE)
