"""How often each instance reads the table."""

from collections.abc import Collection
from datetime import timedelta

import xxhash

# Instances that read the table at the fast interval, in a fleet of any size.
READER_COUNT = 3
FAST_READ_INTERVAL = timedelta(milliseconds=250)
# All other instances together read the table about this often, in case gossip
# does not reach one of them.
_SLOW_READS_PER_SECOND = 5
_SLOW_INTERVAL_MIN = timedelta(seconds=2)
# All unconfirmed instances together read the table at most this often.
_UNCONFIRMED_READS_PER_SECOND = 50


def read_interval(
    instance: str, live_instances: Collection[str], known_instance_count: int
) -> timedelta:
    """Return how often an instance reads the table.

    Parameters
    ----------
    instance : str
        Name of the instance.
    live_instances : collection of str
        Instances that it sees as live; it counts itself in any case.
    known_instance_count : int
        Instances that belong to the fleet, unreachable ones included. If only
        some of them appear live, the fleet may be partitioned and each
        partition may have its readers; they read less often then, so that the
        total rate stays bounded.
    """
    live_count = max(1, len(live_instances))
    partition_count = max(1.0, known_instance_count / live_count)
    if _is_reader(instance, live_instances):
        return FAST_READ_INTERVAL * partition_count
    slow_interval = timedelta(
        seconds=max(known_instance_count, 1) / _SLOW_READS_PER_SECOND
    )
    return max(slow_interval, _SLOW_INTERVAL_MIN * partition_count)


def unconfirmed_read_interval(known_instance_count: int) -> timedelta:
    """Return how often an instance reads the table until its state is confirmed.

    Parameters
    ----------
    known_instance_count : int
        Instances that belong to the fleet; all may have restarted at once.
    """
    shared_interval = timedelta(
        seconds=known_instance_count / _UNCONFIRMED_READS_PER_SECOND
    )
    return max(FAST_READ_INTERVAL, shared_interval)


def _is_reader(instance: str, live_instances: Collection[str]) -> bool:
    own_rank = _compute_rank(instance)
    lower_rank_count = 0
    for other in live_instances:
        if other != instance and _compute_rank(other) < own_rank:
            lower_rank_count += 1
            if lower_rank_count == READER_COUNT:
                return False
    return True


def _compute_rank(instance: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(instance.encode()), instance
