"""How the wait for a confirmation ended."""

from enum import Enum, auto


class ConfirmationOutcome(Enum):
    """Result of a wait for a confirmation."""

    CONFIRMED = auto()
    SUPERSEDED = auto()
    ABANDONED = auto()
