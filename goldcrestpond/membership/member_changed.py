"""Action: notify the process that a member's state changed."""

from dataclasses import dataclass

from .member_update import MemberUpdate


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A change of another member's state in this member's table.

    Attributes
    ----------
    update : MemberUpdate
        The new state.
    is_own_detection : bool
        True if this member's own probes detected the change.
    """

    update: MemberUpdate
    is_own_detection: bool = False
