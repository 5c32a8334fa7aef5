"""Who opens connections to a database, and how many."""

import math

# Kept for a succession, which asks each database over a connection of its own,
# and for the connections of instances that have just died.
FAILOVER_RESERVE_CONNECTIONS = 3
LEADER_CHECK_CONNECTIONS = 1  # of each holder
MIN_SHARE_CONNECTIONS = 1
# Up to so many instances all hold every service, if each gets two connections.
ALL_HOLDERS_MEMBERS_MAX = 16
# What one holder of a larger fleet opens: enough for its neighbours to share.
CONNECTIONS_PER_HOLDER = 6
# Each queue sees more of a database's slots if few hold it; of so many, two or three
# zones and some instances may be lost.
HOLDERS_MAX = 6
# The holders together send so many times the statements that a database runs at
# once: they are seldom busy together, and a database lets some wait.
OVERBOOKING_FACTOR = 2
MIN_SHARE_STATEMENTS = 2  # one that is slow does not stop the others


def holder_count(connection_limit: int, member_count: int) -> int:
    """Return how many instances hold the connections of a service.

    Parameters
    ----------
    connection_limit : int
        Connections that a database takes from all callers together.
    member_count : int
        Live instances, this one included.
    """
    shared = connection_limit - FAILOVER_RESERVE_CONNECTIONS
    least = MIN_SHARE_CONNECTIONS + LEADER_CHECK_CONNECTIONS
    is_small = member_count <= ALL_HOLDERS_MEMBERS_MAX
    if is_small and shared >= least * member_count:
        return member_count
    wanted = shared // (CONNECTIONS_PER_HOLDER + LEADER_CHECK_CONNECTIONS)
    return max(1, min(member_count, wanted, HOLDERS_MAX))


def connection_share(connection_limit: int, holders: int) -> int:
    """Return how many connections one holder may open for statements."""
    shared = connection_limit - FAILOVER_RESERVE_CONNECTIONS
    part = shared // max(1, holders) - LEADER_CHECK_CONNECTIONS
    return max(MIN_SHARE_CONNECTIONS, part)


def statement_share(share: int, slots: int, holders: int) -> int:
    """Return how many statements one holder may run at a database at once.

    Parameters
    ----------
    share : int
        Connections that the holder may open.
    slots : int
        Statements that the database runs at once.
    holders : int
        Instances that hold it.
    """
    part = math.ceil(OVERBOOKING_FACTOR * slots / max(1, holders))
    return max(MIN_SHARE_STATEMENTS, min(share, part))
