"""Route of a database name, from the operator's configuration."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto


class ReadPolicy(Enum):
    """Which commits the reads of a route must show.

    ``CURRENT``: every commit acknowledged before the read arrived. ``BOUNDED``: those
    acknowledged more than the route's ``max_age`` before it. ``OWN_WRITES``: as for
    ``BOUNDED``, and the session's own commits.
    """

    CURRENT = auto()
    BOUNDED = auto()
    OWN_WRITES = auto()


@dataclass(frozen=True, slots=True)
class Route:
    """Maps one database name to a service, with policies and limits.

    Attributes
    ----------
    database : str
        Name that callers ask for.
    service : str
        Name of the service whose databases run the statements.
    policy : ReadPolicy
        Which commits reads must show.
    max_age : timedelta
        Maximum age of what reads show; zero under ``CURRENT``.
    timeout : timedelta
        Time limit of one statement.
    objective : timedelta
        Latency objective of one statement, waits included.
    priority : int
        Priority in the queues; 0 is the highest.
    is_open : bool
        Whether callers need no key of an organisation.
    """

    database: str
    service: str
    policy: ReadPolicy
    max_age: timedelta
    timeout: timedelta
    objective: timedelta
    priority: int
    is_open: bool = False
