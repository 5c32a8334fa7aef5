"""Computes the least log position that a read must show."""

from dataclasses import dataclass
from datetime import timedelta

from ..group.log_position import LogPosition
from .leadership import Leadership
from .route import ReadPolicy, Route


@dataclass(frozen=True, slots=True)
class SessionCommit:
    """The last commit of a session.

    Attributes
    ----------
    position : LogPosition
        Log position after the commit.
    epoch : int
        Epoch of the service's leadership in which the commit was acknowledged.
    """

    position: LogPosition
    epoch: int


def compute_earliest_sample_time(route: Route, arrived_at: timedelta) -> timedelta:
    """Return the time at or after which a sample must have been requested for a read.

    The read must show every commit that was acknowledged before this time. Under
    ``CURRENT`` it is the arrival of the read.
    """
    if route.policy is ReadPolicy.CURRENT:
        return arrived_at
    return arrived_at - route.max_age


def find_min_position(
    leadership: Leadership, since: timedelta, last_commit: SessionCommit | None
) -> LogPosition | None:
    """Return the least position that a read must show; None if a sample is needed.

    A session's commit of an earlier epoch is not compared: acknowledged commits survive
    a change of the leader, so every sample of the current epoch includes it.

    Parameters
    ----------
    leadership : Leadership
        Samples of the leader's position in the current epoch.
    since : timedelta
        Time at or after which the sample must have been requested.
    last_commit : SessionCommit or None
        Last commit of the session, if the read must show it.
    """
    sample = leadership.oldest_sample_since(since)
    if sample is None:
        return None
    if last_commit is None or last_commit.epoch != leadership.epoch:
        return sample.position
    return max(sample.position, last_commit.position)
