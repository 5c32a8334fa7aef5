"""A probe that waits for its answer."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class OutstandingProbe:
    """A probe under way.

    Attributes
    ----------
    target_id : int
        Process that is meant; 0 for whoever answers at the address.
    address : str
        Where the probe went.
    sent_at : timedelta
        When it was first sent.
    decides : bool
        True if silence makes the target suspect.
    attempts : int
        1 after the first datagram, 2 after its repetition, 3 after helpers
        were asked.
    """

    target_id: int
    address: str
    sent_at: timedelta
    decides: bool
    attempts: int = 1
