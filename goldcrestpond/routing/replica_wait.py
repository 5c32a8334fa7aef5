"""Decision whether to wait for a replica or to use the primary."""

from collections.abc import Iterable
from datetime import timedelta

from .read_bound import ReadBound
from .replica_state import ReplicaState

# A read waits up to this much longer for a replica than for the primary, to keep load
# off the primary.
REPLICA_PREFERENCE = timedelta(milliseconds=10)


def estimate_replica_wait(
    states: Iterable[ReplicaState],
    bound: ReadBound,
    min_position_written_at: timedelta,
    now: timedelta,
) -> timedelta | None:
    """Return the expected time until some replica can serve a read.

    Parameters
    ----------
    states : iterable of ReplicaState
        Replicas of the current term.
    bound : ReadBound
        Bounds of the read.
    min_position_written_at : timedelta
        Monotonic time at which the primary is known to have had the lowest position
        that the read must show.
    now : timedelta
        Monotonic time.

    Returns
    -------
    timedelta or None
        None if waiting is not expected to let any replica satisfy the bounds.
    """
    waits = [
        max(min_position_written_at + state.lag - now, state.wait)
        for state in states
        if bound.max_age is None or state.lag <= bound.max_age
    ]
    return min(waits, default=None)


def should_wait_for_replica(
    replica_wait: timedelta | None, primary_wait: timedelta
) -> bool:
    """Return whether to wait for a replica rather than use the primary.

    Parameters
    ----------
    replica_wait : timedelta or None
        Expected time until a replica can serve the read; None if none can.
    primary_wait : timedelta
        Expected time until the read starts on the primary.
    """
    if replica_wait is None:
        return False
    return replica_wait <= primary_wait + REPLICA_PREFERENCE
