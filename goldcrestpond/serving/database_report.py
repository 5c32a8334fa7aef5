"""The state that a database reports over its connection."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from ..group.role import Role


@dataclass(frozen=True, slots=True)
class DatabaseReport:
    """State of one database, as it reports it.

    Attributes
    ----------
    role : Role
        The role that it reports.
    term : int
        Newest term that it knows.
    received : LogPosition
        Position of the last entry of its log.
    paused_term : int
        Term until which it has stopped receiving; 0 if it receives.
    lag_ms : int
        Age in milliseconds of the data that its reads return.
    """

    role: Role
    term: int
    received: LogPosition
    paused_term: int
    lag_ms: int
