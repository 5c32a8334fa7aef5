"""Choice of the replica that serves a read without waiting for replay."""

import random
from collections.abc import Iterable
from datetime import timedelta

from .read_bound import ReadBound
from .replica_state import ReplicaState


def is_eligible(state: ReplicaState, bound: ReadBound, now: timedelta) -> bool:
    """Return whether the data of a replica is within the bounds of a read.

    No replica is eligible for a read without any bound.
    """
    if bound.min_position is None and bound.max_age is None:
        return False
    if bound.min_position is not None and state.replayed_position < bound.min_position:
        return False
    if bound.max_age is None:
        return True
    return state.fresh_as_of is not None and now - state.fresh_as_of <= bound.max_age


def choose_replica(
    states: Iterable[ReplicaState],
    bound: ReadBound,
    now: timedelta,
    rng: random.Random,
) -> ReplicaState | None:
    """Return the eligible replica with the shortest expected wait.

    Ties are broken at random, so that instances with the same information do not
    all choose the same replica.
    """
    eligible = [state for state in states if is_eligible(state, bound, now)]
    if not eligible:
        return None
    return min(eligible, key=lambda state: (state.wait, rng.random()))
