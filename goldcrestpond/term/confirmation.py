"""A commit that waits until a majority of its group holds it."""

from dataclasses import dataclass

from ..group.log_position import LogPosition
from .confirmation_outcome import ConfirmationOutcome


@dataclass(slots=True, eq=False)
class Confirmation:
    """One waiting commit.

    Attributes
    ----------
    position : LogPosition
        Position of the commit, as its primary reported it.
    outcome : ConfirmationOutcome or None
        Result of the wait; None while the commit waits.
    """

    position: LogPosition
    outcome: ConfirmationOutcome | None = None
