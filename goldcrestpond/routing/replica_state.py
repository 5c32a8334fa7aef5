"""What the choice of a replica looks at."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """One replica of the present term.

    Attributes
    ----------
    database : str
        Name within the group.
    replayed_position : int
        Entries that its reads show, by its last status.
    fresh_as_of : timedelta or None
        Reading at which what it shows was complete; None if unknown.
    wait : timedelta
        Expected time until a statement starts there.
    lag : timedelta
        Usual time from a primary's entry to its replay there.
    """

    database: str
    replayed_position: int
    fresh_as_of: timedelta | None
    wait: timedelta
    lag: timedelta
