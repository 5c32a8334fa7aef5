"""A commit that waits to be confirmed."""

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
        How the wait ended; None while it lasts.
    """

    position: LogPosition
    outcome: ConfirmationOutcome | None = None
