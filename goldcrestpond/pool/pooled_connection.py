"""What the pool knows of one connection."""

from dataclasses import dataclass
from datetime import timedelta

from .connection_state import ConnectionState
from .lane import Lane


@dataclass(slots=True)
class PooledConnection:
    """One connection to the database.

    Attributes
    ----------
    connection_id : int
        Number that is unique within the pool and never used again.
    term : int
        Term of the group when it was opened.
    state : ConnectionState
        Where it is in its life.
    last_progress : timedelta
        Reading at which the endpoint was last heard on it.
    state_since : timedelta
        Reading at which it entered its state.
    lane : Lane
        Lane of the running or held transaction.
    probing : bool
        True while a probe on its behalf is under way.
    probe_after : timedelta
        No probe on its behalf starts before this reading.
    doubted : bool
        True once the quiet of its statement has cast doubt on idle siblings.
    missing_count : int
        Probes in a row that found its statement no longer running.
    reusable : bool
        False when it must be closed as soon as it is no longer busy.
    """

    connection_id: int
    term: int
    state: ConnectionState
    last_progress: timedelta
    state_since: timedelta
    lane: Lane = Lane.SHORT
    probing: bool = False
    probe_after: timedelta = timedelta(0)
    doubted: bool = False
    missing_count: int = 0
    reusable: bool = True
