"""Bounds on what one caller may ask for."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Bounds of one session.

    Attributes
    ----------
    frame_limit_bytes : int
        Largest frame that is taken.
    batch_limit_bytes : int
        Largest sum of frames before a Sync.
    startup_timeout : timedelta
        Longest time for startup and authentication.
    acknowledge_timeout : timedelta
        Longest wait for the confirmation of a commit.
    idle_transaction_timeout : timedelta
        Longest time that an open transaction waits for its caller.
    """

    frame_limit_bytes: int
    batch_limit_bytes: int
    startup_timeout: timedelta
    acknowledge_timeout: timedelta
    idle_transaction_timeout: timedelta
