"""A session that waits for a sample of the primary's position."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition


@dataclass(slots=True, eq=False)
class MinPositionRequest:
    """One waiting session.

    Attributes
    ----------
    asked_at : timedelta
        The sample must not be older.
    min_position : LogPosition or None
        The sampled position; None while it waits.
    """

    asked_at: timedelta
    min_position: LogPosition | None = None
