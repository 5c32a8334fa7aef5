"""What a database of the platform's kind says of itself."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from ..group.role import Role


@dataclass(frozen=True, slots=True)
class DatabaseReport:
    """State of one database.

    Attributes
    ----------
    role : Role
        Its role by its own word.
    term : int
        Newest term that it knows.
    received : LogPosition
        Last entry of its log.
    paused_term : int
        Term for which it has stopped receiving; 0 if it receives.
    lag_ms : int
        Age of what its reads show.
    """

    role: Role
    term: int
    received: LogPosition
    paused_term: int
    lag_ms: int
