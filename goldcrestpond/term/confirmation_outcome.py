"""Result of waiting for a commit to be confirmed."""

from enum import Enum, auto


class ConfirmationOutcome(Enum):
    """Result of waiting for a commit to be confirmed.

    Members
    -------
    CONFIRMED : a majority of the group holds the commit.
    SUPERSEDED : a majority joined a later term, so it can't be confirmed.
    ABANDONED : the caller no longer waits.
    """

    CONFIRMED = auto()
    SUPERSEDED = auto()
    ABANDONED = auto()
