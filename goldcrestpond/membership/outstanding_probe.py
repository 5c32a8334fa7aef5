"""A probe that waits for its answer."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class OutstandingProbe:
    """A probe that was sent and not answered yet.

    Attributes
    ----------
    target_id : int
        Process that is probed; 0 for any process at the address.
    address : str
        ``IP:PORT`` that the probe was sent to.
    sent_at : timedelta
        Time at which it was first sent.
    is_decisive : bool
        True if a timeout makes the target suspect.
    attempts : int
        1 after the first datagram, 2 after the second, 3 after helpers were
        asked.
    """

    target_id: int
    address: str
    sent_at: timedelta
    is_decisive: bool
    attempts: int = 1
