"""How far the operations of an organisation may exceed its limit in a window."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class RateBound:
    """Bound over all instances, whether or not they are in touch.

    In no window more operations of an organisation with the limit ``r`` a second and
    the burst ``b`` are both sent and run than
    ``(r * window + b) * (1 + overage_fraction) + slack_count``.

    Attributes
    ----------
    window : timedelta
        Length of the window.
    overage_fraction : float
        Part of what the limit allows that may be exceeded.
    slack_count : float
        Operations that may be run beyond that.
    """

    window: timedelta
    overage_fraction: float
    slack_count: float

    def reserve_count(self, rate_per_s: float, burst: float) -> float:
        """Return how many operations a window may have beyond the limit."""
        allowed_count = rate_per_s * self.window.total_seconds() + burst
        return self.overage_fraction * allowed_count + self.slack_count
