"""State of an instance in the membership protocol."""

from enum import IntEnum


class MemberState(IntEnum):
    """State of one instance; at equal incarnations the greater value wins.

    ``LEFT`` is final at any incarnation: the process announced that it leaves,
    or it was replaced by another process that answered at its address.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
