"""Whether waiting for a replica is expected to pay."""

from collections.abc import Iterable
from datetime import timedelta

from .read_bound import ReadBound
from .replica_state import ReplicaState

# Waiting this long for a replica is worth a statement less on the primary.
REPLICA_PREFERENCE = timedelta(milliseconds=10)


def estimate_replica_wait(
    states: Iterable[ReplicaState],
    bound: ReadBound,
    floor_written_at: timedelta,
    now: timedelta,
) -> timedelta | None:
    """Return the expected time until some replica can serve a read.

    Parameters
    ----------
    states : iterable of ReplicaState
        Replicas of the present term.
    bound : ReadBound
        Bounds of the read.
    floor_written_at : timedelta
        Reading at which the primary is known to have held the floor.
    now : timedelta
        Monotonic reading.

    Returns
    -------
    timedelta or None
        None if no replica is expected to satisfy the bounds by waiting.
    """
    waits = [
        max(floor_written_at + state.lag - now, state.wait)
        for state in states
        if bound.max_age is None or state.lag <= bound.max_age
    ]
    return min(waits, default=None)


def should_wait_for_replica(
    replica_wait: timedelta | None, primary_wait: timedelta
) -> bool:
    """Return whether to wait for a replica rather than use the primary."""
    if replica_wait is None:
        return False
    return replica_wait <= primary_wait + REPLICA_PREFERENCE
