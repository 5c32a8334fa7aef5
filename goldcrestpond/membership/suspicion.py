"""A suspicion that rests on this member's own probes."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class Suspicion:
    """An instance that did not answer this member.

    Attributes
    ----------
    incarnation : int
        Incarnation that is suspected; a higher one refutes.
    deadline : timedelta
        When the instance is declared dead.
    probe_at : timedelta
        When it is probed again.
    """

    incarnation: int
    deadline: timedelta
    probe_at: timedelta
