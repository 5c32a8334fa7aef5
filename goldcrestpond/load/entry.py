"""One write of a caller."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from .reported_outcome import ReportedOutcome


@dataclass(slots=True)
class Entry:
    """An entry of the fuel log and the outcome reported to its caller.

    Attributes
    ----------
    session : str
        Session that sends the write.
    number : int
        Number of the write within its session.
    part_count : int
        Number of rows that its transaction inserts into the fuel log.
    reported_outcome : ReportedOutcome
        ``UNKNOWN`` until the answer arrives.
    position : LogPosition or None
        Log position in the session token that came with the acknowledgement.
    """

    session: str
    number: int
    part_count: int = 1
    reported_outcome: ReportedOutcome = ReportedOutcome.UNKNOWN
    position: LogPosition | None = None
