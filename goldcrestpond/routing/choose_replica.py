"""Which replica serves a read at once."""

import random
from collections.abc import Iterable
from datetime import timedelta

from .read_bound import ReadBound
from .replica_state import ReplicaState


def is_eligible(state: ReplicaState, bound: ReadBound, now: timedelta) -> bool:
    """Return whether a replica's data is within the bounds of a read.

    A read that states neither bound is not for replicas.
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

    Equal waits are decided at random, so that instances that know the same do
    not all choose the same replica.
    """
    eligible = [state for state in states if is_eligible(state, bound, now)]
    if not eligible:
        return None
    return min(eligible, key=lambda state: (state.wait, rng.random()))
