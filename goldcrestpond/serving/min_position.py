"""Computes the least log position that a read must show."""

from datetime import timedelta

from ..group.log_position import LogPosition
from .leadership import Leadership
from .route import ReadPolicy, Route


def compute_earliest_sample_time(route: Route, arrived_at: timedelta) -> timedelta:
    """Return the time at or after which a sample must have been requested for a read.

    The read must show every commit that was acknowledged before this time. Under
    ``CURRENT`` it is the arrival of the read.
    """
    if route.policy is ReadPolicy.CURRENT:
        return arrived_at
    return arrived_at - route.max_age


def find_min_position(
    leadership: Leadership, since: timedelta, last_commit: LogPosition | None
) -> LogPosition | None:
    """Return the least position that a read must show; None if a sample is needed.

    A sample of a later term than the session's commit includes it, whatever their
    numbers: acknowledged commits survive a change of the leader. One of an earlier term
    comes from a leader that was replaced; the read must show the commit then.

    Parameters
    ----------
    leadership : Leadership
        Samples of the leader's position in the current epoch.
    since : timedelta
        Time at or after which the sample must have been requested.
    last_commit : LogPosition or None
        Position after the last commit of the session, if the read must show it.
    """
    sample = leadership.oldest_sample_since(since)
    if sample is None:
        return None
    if last_commit is None:
        return sample.position
    return max(sample.position, last_commit)  # by term first
