"""Limits of one caller's session."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Size and time limits of one session.

    Attributes
    ----------
    frame_limit_bytes : int
        Size of the largest frame that is accepted.
    batch_limit_bytes : int
        Greatest total size of the frames of a batch.
    startup_timeout : timedelta
        Longest time for the startup packet, and again for authentication.
    acknowledge_timeout : timedelta
        Longest wait for the confirmation of a commit.
    idle_transaction_timeout : timedelta
        Longest time that an open transaction may wait for the next request.
    """

    frame_limit_bytes: int
    batch_limit_bytes: int
    startup_timeout: timedelta
    acknowledge_timeout: timedelta
    idle_transaction_timeout: timedelta
