"""A session that waits for a sample of the primary's log position."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition


@dataclass(slots=True, eq=False)
class MinPositionRequest:
    """A session's request for the log position that its reads must show.

    Attributes
    ----------
    asked_at : timedelta
        Monotonic time of the request; the sample must be newer.
    min_position : LogPosition or None
        The sampled position; None while the session waits.
    """

    asked_at: timedelta
    min_position: LogPosition | None = None
