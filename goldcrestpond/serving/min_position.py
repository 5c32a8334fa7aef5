"""The position that a read must show."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition
from .leadership import Leadership
from .route import ReadPolicy, Route


@dataclass(frozen=True, slots=True)
class SessionFloor:
    """The last commit of a session.

    Attributes
    ----------
    position : LogPosition
        Position after it.
    epoch : int
        Epoch of the service's leadership in which it was acknowledged.
    """

    position: LogPosition
    epoch: int


def sample_needed_since(route: Route, arrived_at: timedelta) -> timedelta:
    """Return the reading from which on a sample serves a read.

    Commits acknowledged before it must be shown. Under ``CURRENT`` it is the
    arrival of the read itself.
    """
    if route.policy is ReadPolicy.CURRENT:
        return arrived_at
    return arrived_at - route.max_age


def find_floor(
    leadership: Leadership, since: timedelta, own: SessionFloor | None
) -> LogPosition | None:
    """Return the lowest admissible floor, or None if a new sample is needed.

    A session's commit of a former epoch lies below every sample of the present
    one: acknowledged commits outlive a change of the leader.
    """
    sample = leadership.oldest_sample_since(since)
    if sample is None:
        return None
    if own is None or own.epoch != leadership.epoch:
        return sample.position
    return max(sample.position, own.position)
