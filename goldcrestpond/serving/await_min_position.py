"""Finds the floor of a read, with a new proof where it needs one."""

from datetime import timedelta

from ..group.log_position import LogPosition
from .leader_verifier import LeaderVerifier
from .leadership import Leadership
from .min_position import SessionFloor, find_floor, sample_needed_since
from .route import ReadPolicy, Route


async def find_read_floor(
    leadership: Leadership,
    leader_verifier: LeaderVerifier,
    route: Route,
    own: SessionFloor | None,
    arrived_at: timedelta,
    deadline: timedelta,
) -> LogPosition:
    """Return the position that a read must show.

    Raises
    ------
    CodedError
        NO_PRIMARY if a new sample is needed and none can be had in time.
    """
    if route.policy is ReadPolicy.BOUNDED:
        own = None
    since = sample_needed_since(route, arrived_at)
    while True:
        min_position = find_floor(leadership, since, own)
        if min_position is not None:
            if route.policy is not ReadPolicy.CURRENT:
                leader_verifier.refresh_sample()
            return min_position
        await leader_verifier.wait_for_sample(
            since, leader_verifier.leader_wait_deadline(deadline)
        )
