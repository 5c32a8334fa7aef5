"""Estimate of how long a slot is occupied."""

from datetime import timedelta

_INITIAL = timedelta(milliseconds=5)
# A weight of 1/8 follows a change within about ten requests and damps a single
# outlier.
_WEIGHT = 0.125


class ServiceEstimate:
    """Moving average of the time for which requests of one lane hold a slot."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = _INITIAL

    def add(self, duration: timedelta) -> None:
        """Take one finished request into account."""
        self.mean += (duration - self.mean) * _WEIGHT
