"""Which members may hold connections for other instances."""

from collections.abc import Sequence

from ..serving.members import Member

# A member is eligible if its link has at least this fraction of the bandwidth of the
# ``count``-th fastest link.
MIN_LINK_FRACTION = 0.5


def eligible_members(members: Sequence[Member], count: int) -> list[Member]:
    """Return the members from which ``count`` holders may be chosen.

    The traffic of instances that use a holder's connections passes over the
    holder's link, in addition to its own. Where enough members have links of
    high bandwidth, those with low bandwidth hold no connections.

    Parameters
    ----------
    members : sequence of Member
        Live instances.
    count : int
        Number of holders to be chosen.
    """
    links = sorted((member.link_mbps for member in members), reverse=True)
    min_mbps = links[min(count, len(links)) - 1] * MIN_LINK_FRACTION if links else 0
    return [member for member in members if member.link_mbps >= min_mbps]
