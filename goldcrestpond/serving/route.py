"""A route of the operator's configuration."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto


class ReadPolicy(Enum):
    """What reads of a route must show.

    ``CURRENT``: every commit acknowledged before; ``BOUNDED``: those
    acknowledged more than the route's age before; ``OWN_WRITES``: these and
    the session's own.
    """

    CURRENT = auto()
    BOUNDED = auto()
    OWN_WRITES = auto()


@dataclass(frozen=True, slots=True)
class Route:
    """Where the work of one database name goes.

    Attributes
    ----------
    database : str
        Name that callers ask for.
    service : str
        Databases that serve it.
    policy : ReadPolicy
        What its reads must show.
    max_age : timedelta
        Age that reads accept; zero under ``CURRENT``.
    timeout : timedelta
        Limit of one statement.
    objective : timedelta
        Latency objective of a whole operation.
    priority : int
        0 is served first.
    """

    database: str
    service: str
    policy: ReadPolicy
    max_age: timedelta
    timeout: timedelta
    objective: timedelta
    priority: int
