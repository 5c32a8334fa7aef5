"""Computes how many instances connect to a database, with how many connections."""

import math
from collections.abc import Mapping, Sequence

# Reserved for a failover, which opens a separate connection to each database, and for
# connections of crashed instances, which a database still counts for seconds.
FAILOVER_RESERVE_CONNECTIONS = 3
# Part of a database's connections that holders of organisations leave free. A database
# counts those of instances that lost power for seconds; the restarted ones need new
# ones for each organisation meanwhile.
RESTART_RESERVE_FRACTION = 0.25
LEADER_CHECK_CONNECTIONS = 1  # of each holder
MIN_SHARE_CONNECTIONS = 1
# In a fleet of up to this size every instance holds every service, if the limit allows
# each two connections.
ALL_HOLDERS_MEMBERS_MAX = 16
# In a larger fleet, other instances relay their statements through a holder, which
# needs this many connections for them.
CONNECTIONS_PER_HOLDER = 6
# The fewer holders, the more of a database's slots each one's queue covers. With this
# many, two or three zones and some instances may fail.
HOLDERS_MAX = 6
# All holders together may send this many times the statements that a database runs at
# once: they are rarely all busy, and the database queues some statements.
OVERBOOKING_FACTOR = 2
MIN_SHARE_STATEMENTS = 2  # so that one slow statement does not block the others
# With organisations, this fraction is divided evenly: a holder that is no home serves
# as standby, and lends to others that can't reach a database.
EVEN_FRACTION = 0.25


def holder_count(connection_limit: int, member_count: int) -> int:
    """Return how many instances hold connections to the databases of a service.

    Parameters
    ----------
    connection_limit : int
        Connections that a database accepts from all its clients together.
    member_count : int
        Live instances, this one included.
    """
    shared = connection_limit - FAILOVER_RESERVE_CONNECTIONS
    least = MIN_SHARE_CONNECTIONS + LEADER_CHECK_CONNECTIONS
    is_small = member_count <= ALL_HOLDERS_MEMBERS_MAX
    if is_small and shared >= least * member_count:
        return member_count
    affordable = shared // (CONNECTIONS_PER_HOLDER + LEADER_CHECK_CONNECTIONS)
    return max(1, min(member_count, affordable, HOLDERS_MAX))


def connection_share(connection_limit: int, holders: int) -> int:
    """Return how many connections one holder may open for statements.

    Parameters
    ----------
    connection_limit : int
        Connections that a database accepts from all its clients together.
    holders : int
        Instances that hold connections to it.
    """
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
        Instances that hold connections to it.
    """
    part = math.ceil(OVERBOOKING_FACTOR * slots / max(1, holders))
    return max(MIN_SHARE_STATEMENTS, min(share, part))


def restart_share(connection_limit: int, holders: int) -> int:
    """Return how many connections one holder opens right after its start.

    If all holders have lost power, the database still counts their former connections:
    only the part that is left free for restarts is there, for all of them.

    Parameters
    ----------
    connection_limit : int
        Connections that a database accepts from all its clients together.
    holders : int
        Instances that hold connections to it.
    """
    free = math.floor(connection_limit * RESTART_RESERVE_FRACTION)
    return max(MIN_SHARE_CONNECTIONS, free // max(1, holders))


def weigh_holders(
    holders: Sequence[str], home_parts: Mapping[str, float]
) -> dict[str, float]:
    """Return the part of a database's room that each holder gets; they add up to 1.

    Parameters
    ----------
    holders : sequence of str
        Names of the holders of the service.
    home_parts : mapping of str to float
        Part of the organisations' rates that has its home at each holder, 0 to 1;
        holders that are no home are left out.
    """
    total = sum(home_parts.get(name, 0.0) for name in holders)
    count = len(holders)
    if total <= 0:
        return dict.fromkeys(holders, 1 / count)
    even = EVEN_FRACTION / count
    rest = 1 - EVEN_FRACTION
    return {
        name: even + rest * home_parts.get(name, 0.0) / total
        for name in sorted(holders)
    }


def divide_connections(
    connection_limit: int, weights: Mapping[str, float]
) -> dict[str, int]:
    """Return how many connections each holder may open for statements.

    Every holder gets at least one; the rest follows the weights by the method of the
    largest remainder. With one connection for leader checks each, they add up to at
    most the limit less the reserve for restarts, if that allows each holder one.

    Parameters
    ----------
    connection_limit : int
        Connections that a database accepts from all its clients together.
    weights : mapping of str to float
        Part of each holder; they add up to 1.
    """
    count = len(weights)
    least = MIN_SHARE_CONNECTIONS + LEADER_CHECK_CONNECTIONS
    reserve = max(
        FAILOVER_RESERVE_CONNECTIONS,
        math.floor(connection_limit * RESTART_RESERVE_FRACTION),
    )
    rest = connection_limit - reserve - least * count
    shares = dict.fromkeys(weights, MIN_SHARE_CONNECTIONS)
    if rest <= 0:
        return shares
    quotas = {name: rest * weight for name, weight in weights.items()}
    for name, quota in quotas.items():
        shares[name] += math.floor(quota)
    left = rest - sum(math.floor(quota) for quota in quotas.values())
    by_remainder = sorted(
        quotas, key=lambda name: (math.floor(quotas[name]) - quotas[name], name)
    )
    for name in by_remainder[:left]:
        shares[name] += 1
    return shares


def weighted_statement_share(share: int, slots: int, weight: float) -> int:
    """Return how many statements a holder with a weight may run at a database at once.

    Parameters
    ----------
    share : int
        Connections that the holder may open.
    slots : int
        Statements that the database runs at once.
    weight : float
        Part of the holder, 0 to 1.
    """
    part = math.ceil(OVERBOOKING_FACTOR * slots * weight)
    return max(MIN_SHARE_STATEMENTS, min(share, part))
