"""Estimates the current latency of a database."""

from datetime import timedelta

SMOOTHING_WEIGHT = 0.125  # ten answers show about 3/4 of a change
# Without new answers the estimate decays with this half-life, so that a database that
# was slow is tried again.
HALF_LIFE = timedelta(milliseconds=500)


class RecentLatency:
    """Moving average of the time from the request for a connection to the answer.

    It includes the load that other instances put on the database, which no counter of
    this instance shows.
    """

    __slots__ = ("_has_answered", "_mean", "_observed_at")

    def __init__(self) -> None:
        self._mean = timedelta(0)
        self._observed_at: timedelta | None = None
        self._has_answered = False

    @property
    def is_known(self) -> bool:
        """Whether an answer or a refusal was observed."""
        return self._observed_at is not None

    @property
    def has_answered(self) -> bool:
        """Whether an answer was observed."""
        return self._has_answered

    def observe_refusal(self, wait: timedelta, now: timedelta) -> None:
        """Add the time that a refused request would have waited to the average."""
        self._add(wait, now)

    def observe_paced(self, wait: timedelta, now: timedelta) -> None:
        """Add the wait that a paced database asks for, if it is longer than expected.

        Before the first answer it shows nothing: the refusal was quick.
        """
        if self._has_answered and wait > self.estimate(now):
            self._add(wait, now)

    def observe(self, elapsed: timedelta, now: timedelta) -> None:
        """Add the latency of one answer to the average."""
        self._has_answered = True
        self._add(elapsed, now)

    def _add(self, elapsed: timedelta, now: timedelta) -> None:
        if self._observed_at is None:
            self._mean = elapsed
        else:
            current = self.estimate(now)
            self._mean = current + (elapsed - current) * SMOOTHING_WEIGHT
        self._observed_at = now

    def estimate(self, now: timedelta) -> timedelta:
        """Return the estimated latency; zero before the first answer."""
        if self._observed_at is None:
            return self._mean
        return self._mean * 0.5 ** ((now - self._observed_at) / HALF_LIFE)
