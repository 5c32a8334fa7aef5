"""How often, and how recently, something was used."""

from datetime import timedelta

# Uses lose half of their weight in this time. It is some times the interval between
# two requests of an organisation that a warm connection is worth keeping for.
HALF_LIFE = timedelta(seconds=30)


class UseScore:
    """Number of uses, each of which counts half as much after each ``HALF_LIFE``.

    It combines recency and frequency (LRFU, Lee et al. 2001): a single use weighs 1 at
    first, frequent ones add up and fade slowly.
    """

    __slots__ = ("_score", "_updated_at")

    def __init__(self) -> None:
        self._score = 0.0
        self._updated_at = timedelta(0)

    def add(self, now: timedelta) -> None:
        """Count a use at the monotonic time ``now``."""
        self._score = self.compute(now) + 1
        self._updated_at = now

    def compute(self, now: timedelta) -> float:
        """Return the score at the monotonic time ``now``."""
        return self._score * 0.5 ** ((now - self._updated_at) / HALF_LIFE)
