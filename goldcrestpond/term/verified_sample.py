"""A primary position that was still the group's newest when it was sampled."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class VerifiedSample:
    """A primary position with the time from which on it was valid.

    Every transaction acknowledged before ``sampled_after`` is at or below
    ``position``.

    Attributes
    ----------
    position : LogPosition
        The primary's position.
    sampled_after : timedelta
        Monotonic reading: the primary and a majority of the group, itself
        included, were asked after it, and all still were in the same term.
    """

    position: LogPosition
    sampled_after: timedelta
