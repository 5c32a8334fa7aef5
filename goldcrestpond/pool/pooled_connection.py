"""State that the pool keeps of one connection."""

from dataclasses import dataclass, field
from datetime import timedelta

from .connection_state import ConnectionState
from .lane import Lane
from .slot_request import SlotRequest
from .use_score import UseScore


@dataclass(slots=True)
class PooledConnection:
    """One connection to the database.

    Attributes
    ----------
    connection_id : int
        Number that is unique within the pool and never reused.
    term : int
        Term of the group when the connection was opened.
    state : ConnectionState
        Current state.
    last_active_at : timedelta
        Monotonic time of the last data from the endpoint on this connection.
    state_since : timedelta
        Monotonic time at which it entered its state.
    lane : Lane
        Lane of the running or held transaction.
    probing : bool
        True while a probe about its statement is in progress.
    next_probe_at : timedelta
        No probe about its statement starts before this monotonic time.
    has_stalled : bool
        True once its current statement has exceeded the stall threshold.
    not_running_count : int
        Number of consecutive probes that found its statement no longer running.
    reusable : bool
        False if it must be closed as soon as its current request ends.
    organisation : str
        The one organisation that it serves.
    request : SlotRequest or None
        Request for which it is being opened or checked, and which it will be granted.
    occupies_slot : bool
        True if its opening or its check occupies a slot of its lane.
    is_unused : bool
        True until it is granted to a request for the first time.
    uses : UseScore
        How often and how recently it was granted.
    has_refused : bool
        True if the database refused or failed its current statement.
    """

    connection_id: int
    term: int
    state: ConnectionState
    last_active_at: timedelta
    state_since: timedelta
    lane: Lane = Lane.SHORT
    probing: bool = False
    next_probe_at: timedelta = timedelta(0)
    has_stalled: bool = False
    not_running_count: int = 0
    reusable: bool = True
    organisation: str = ""
    request: SlotRequest | None = None
    occupies_slot: bool = False
    is_unused: bool = True
    uses: UseScore = field(default_factory=UseScore)
    has_refused: bool = False
