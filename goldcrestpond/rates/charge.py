"""An operation that was counted against its organisation's rate."""

from dataclasses import dataclass
from datetime import timedelta

from .rate_pot import RatePot


@dataclass(slots=True)
class Charge:
    """One counted operation.

    Attributes
    ----------
    organisation : str
        Name of the organisation.
    charged_at : timedelta
        Time at which it was counted.
    pot : RatePot or None
        From which it was taken; None if the organisation has no limit or the
        operation was refunded.
    """

    organisation: str
    charged_at: timedelta
    pot: RatePot | None
