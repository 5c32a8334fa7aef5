"""Determines the minimum log position of a read."""

from datetime import timedelta

from ..group.log_position import LogPosition
from .leader_verifier import LeaderVerifier
from .leadership import Leadership
from .min_position import compute_earliest_sample_time, find_min_position
from .route import ReadPolicy, Route


async def await_min_position(
    leadership: Leadership,
    leader_verifier: LeaderVerifier,
    route: Route,
    last_commit: LogPosition | None,
    arrived_at: timedelta,
    deadline: timedelta,
) -> LogPosition:
    """Return the least log position that a read must show.

    Waits for a leader check if no sample of the leader's position is new enough.

    Raises
    ------
    CodedError
        NO_PRIMARY if a new sample is needed and none arrives before the deadline.
    """
    if route.policy is ReadPolicy.BOUNDED:
        last_commit = None
    since = compute_earliest_sample_time(route, arrived_at)
    while True:
        min_position = find_min_position(leadership, since, last_commit)
        if min_position is not None:
            if route.policy is not ReadPolicy.CURRENT:
                leader_verifier.refresh_sample()
            return min_position
        await leader_verifier.wait_for_sample(
            since, leader_verifier.leader_wait_deadline(deadline)
        )
