"""One write of one caller."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from .reported_outcome import ReportedOutcome


@dataclass(slots=True)
class Entry:
    """A fuel entry with what its caller was told.

    Attributes
    ----------
    session : str
        Session that wrote it.
    number : int
        Count within the session.
    part_count : int
        Rows that its transaction writes.
    reported_outcome : ReportedOutcome
        Unknown until the answer came.
    position : LogPosition or None
        Position in the token that came with the acknowledgement.
    """

    session: str
    number: int
    part_count: int = 1
    reported_outcome: ReportedOutcome = ReportedOutcome.UNKNOWN
    position: LogPosition | None = None
