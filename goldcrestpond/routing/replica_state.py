"""State of a replica on which the choice of a replica depends."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """State of one replica that follows the primary of the current term.

    Attributes
    ----------
    database : str
        Name of the database within its group.
    replayed_position : int
        Number of log entries that its reads show, by its last status.
    fresh_as_of : timedelta or None
        Monotonic time as of which the data that it shows is complete; None if
        unknown.
    wait : timedelta
        Expected time until a statement starts on it.
    lag : timedelta
        Mean time from the write of an entry on the primary to its replay on this one.
    """

    database: str
    replayed_position: int
    fresh_as_of: timedelta | None
    wait: timedelta
    lag: timedelta
