"""What an instance may spend of an organisation's rate."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RateRole:
    """Parts that the members' table gives to this instance.

    For each state of the table the parts of all instances add up to at most 1.

    Attributes
    ----------
    main_share : float
        Part of the organisation's main share, 0 to 1; positive at a home.
    standby_share : float
        Part of the organisation's reserve, 0 to 1; positive at a standby.
    """

    main_share: float = 0
    standby_share: float = 0
