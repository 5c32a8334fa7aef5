"""Estimate of a time that requests take."""

from datetime import timedelta

_INITIAL_MEAN = timedelta(milliseconds=5)
# With a weight of 1/8 the mean shows about three quarters of a change after ten
# requests, and a single outlier changes it little.
_SMOOTHING_FACTOR = 0.125


class ServiceEstimate:
    """Moving average, such as of the time for which requests occupy a slot.

    Parameters
    ----------
    initial_mean : timedelta, optional
        Mean before the first request has finished.
    smoothing_factor : float, optional
        Weight of each further request.

    Attributes
    ----------
    mean : timedelta
        The average.
    """

    __slots__ = ("_smoothing_factor", "mean")

    def __init__(
        self,
        initial_mean: timedelta = _INITIAL_MEAN,
        smoothing_factor: float = _SMOOTHING_FACTOR,
    ) -> None:
        self.mean = initial_mean
        self._smoothing_factor = smoothing_factor

    def add(self, duration: timedelta) -> None:
        """Add the duration of one finished request."""
        self.mean += (duration - self.mean) * self._smoothing_factor
