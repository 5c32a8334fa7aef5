"""A suspicion that this member raised after its own probes timed out."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class Suspicion:
    """An instance that did not answer this member's probes.

    Attributes
    ----------
    incarnation : int
        Suspected incarnation; a higher one refutes the suspicion.
    deadline : timedelta
        Time at which the instance is declared dead.
    next_probe_at : timedelta
        Time at which it is probed again.
    """

    incarnation: int
    deadline: timedelta
    next_probe_at: timedelta
