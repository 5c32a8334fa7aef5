"""Estimate of the time for which a request occupies a slot."""

from datetime import timedelta

_INITIAL_MEAN = timedelta(milliseconds=5)
# With a weight of 1/8 the mean shows about three quarters of a change after ten
# requests, and a single outlier changes it little.
_SMOOTHING_FACTOR = 0.125


class ServiceEstimate:
    """Moving average of the time for which requests of one lane occupy a slot."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = _INITIAL_MEAN

    def add(self, duration: timedelta) -> None:
        """Add the duration of one finished request."""
        self.mean += (duration - self.mean) * _SMOOTHING_FACTOR
