"""Which members may hold connections for others."""

from collections.abc import Sequence

from ..serving.members import Member

# Links this much narrower than those of the widest still count as equal.
EQUAL_LINK_PART = 0.5


def eligible_members(members: Sequence[Member], count: int) -> list[Member]:
    """Return the members among which so many holders are chosen.

    What others borrow passes over the holder's link, beside all else that the
    holder receives; where there are enough members with wide links, narrow ones
    hold nothing.

    Parameters
    ----------
    members : sequence of Member
        Live instances.
    count : int
        Holders that are wanted.
    """
    links = sorted((member.link_mbps for member in members), reverse=True)
    least = links[min(count, len(links)) - 1] * EQUAL_LINK_PART if links else 0
    return [member for member in members if member.link_mbps >= least]
