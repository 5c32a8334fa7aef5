"""Action: tell the process that a member's state changed."""

from dataclasses import dataclass

from .member_update import MemberUpdate


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A newly learned state of another instance.

    Attributes
    ----------
    update : MemberUpdate
        The state now in force here.
    is_own_detection : bool
        True if this member found it out by its own probes.
    """

    update: MemberUpdate
    is_own_detection: bool = False
