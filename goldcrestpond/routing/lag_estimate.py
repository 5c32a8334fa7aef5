"""Smoothed replication lag of one replica."""

from datetime import timedelta

SMOOTHING_FACTOR = 0.2  # the last five polls have two thirds of the weight


class LagEstimate:
    """Exponentially weighted mean of the age of a replica's data."""

    __slots__ = ("_mean",)

    def __init__(self):
        self._mean: timedelta | None = None

    @property
    def mean(self) -> timedelta:
        """The current estimate; zero before the first observation."""
        return self._mean or timedelta(0)

    def observe(self, age: timedelta) -> None:
        """Add the age of the data that one poll showed."""
        if self._mean is None:
            self._mean = age
        else:
            self._mean += (age - self._mean) * SMOOTHING_FACTOR
