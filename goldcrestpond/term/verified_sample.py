"""A primary's log position, verified as the group's newest when sampled."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition


@dataclass(frozen=True, slots=True)
class VerifiedSample:
    """A primary's log position and the time at which it was the group's newest.

    Every transaction acknowledged before ``sampled_after`` is at or below
    ``position``.

    Attributes
    ----------
    position : LogPosition
        The primary's position.
    sampled_after : timedelta
        Monotonic time. The primary and, with it, a majority of the group were
        polled after it, and all were still in the same term.
    """

    position: LogPosition
    sampled_after: timedelta
