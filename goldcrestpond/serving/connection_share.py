"""How many connections of a database this instance may open."""

# Kept for a succession, which asks each database over a connection of its own,
# and for the connections of instances that have just died.
SUCCESSION_RESERVE = 3
LEADER_PROOF_CONNECTIONS = 1  # of each instance
LEAST_SHARE = 1


def connection_share(connection_limit: int, member_count: int) -> int:
    """Return the part of one instance in the connections of all.

    Parameters
    ----------
    connection_limit : int
        Connections that the database takes from all callers together.
    member_count : int
        Live instances, this one included.
    """
    shared = connection_limit - SUCCESSION_RESERVE
    part = shared // max(1, member_count) - LEADER_PROOF_CONNECTIONS
    return max(LEAST_SHARE, part)
