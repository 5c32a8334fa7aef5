"""A request that waits for a slot and a connection."""

from dataclasses import dataclass
from datetime import timedelta

from .lane import Lane
from .requester import Requester


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A transaction, or a statement outside a transaction, that is to run.

    Attributes
    ----------
    request_id : int
        Number that is unique within the process.
    requester : Requester
        For whom it is to run. Requests of the same session wait for one another before
        they delay those of others.
    lane : Lane
        Class of work.
    deadline : timedelta
        Monotonic time at which the request stops waiting.
    priority : int
        Priority within the lane; lower numbers go first.
    """

    request_id: int
    requester: Requester
    lane: Lane
    deadline: timedelta
    priority: int = 0
