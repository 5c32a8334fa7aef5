"""What is known of an instance's life."""

from enum import IntEnum


class MemberState(IntEnum):
    """State of one instance; at one incarnation a greater state wins.

    ``LEFT`` is final whatever the incarnation: the process said that it leaves,
    or another process was met at its address.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
