"""An organisation whose callers are served, from the operator's configuration."""

from dataclasses import dataclass


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
