"""An organisation whose callers are served, from the operator's configuration."""

import math
from dataclasses import dataclass

# An organisation of the next lower priority gets this part of the weight.
WEIGHT_BASE = 1 / 2
# Priorities beyond this one weigh the same, so that no weight is nearly zero.
LOWEST_PRIORITY = 8


@dataclass(frozen=True, slots=True)
class Organisation:
    """Name, priority and limits of one organisation.

    Attributes
    ----------
    name : str
        Its name, which the databases are told. It is never empty.
    priority : int
        Priority among organisations; 0 is the highest.
    rate_per_s : float
        Operations per second that it may run, over all instances; infinite if it is
        not limited.
    burst : float
        Operations that it may run beyond ``rate_per_s`` after a pause.
    """

    name: str
    priority: int = 1
    rate_per_s: float = float("inf")
    burst: float = float("inf")

    @property
    def is_limited(self) -> bool:
        """Whether its operations are counted."""
        return math.isfinite(self.rate_per_s) and math.isfinite(self.burst)


def compute_weight(priority: int) -> float:
    """Return the weight of an organisation's requests relative to others.

    Parameters
    ----------
    priority : int
        Priority of the organisation; 0 is the highest and gives the most weight.

    Returns
    -------
    float
        From ``WEIGHT_BASE ** LOWEST_PRIORITY`` to 1.
    """
    return WEIGHT_BASE ** min(max(priority, 0), LOWEST_PRIORITY)
