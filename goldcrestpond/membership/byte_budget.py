"""A token bucket that counts bytes."""

from datetime import timedelta


class ByteBudget:
    """Limits the rate of sent bytes by a token bucket.

    Parameters
    ----------
    rate_bytes_per_s : int
        Refill rate.
    burst_bytes : int
        Capacity of the bucket; it starts full.
    """

    __slots__ = (
        "_available_bytes",
        "_burst_bytes",
        "_rate_bytes_per_s",
        "_refilled_at",
    )

    def __init__(self, rate_bytes_per_s: int, burst_bytes: int):
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._available_bytes = float(burst_bytes)
        self._refilled_at: timedelta | None = None

    def refill(self, now: timedelta) -> None:
        """Add the bytes for the time since the last refill."""
        if self._refilled_at is not None:
            elapsed_s = (now - self._refilled_at).total_seconds()
            refilled_bytes = self._available_bytes + elapsed_s * self._rate_bytes_per_s
            self._available_bytes = min(self._burst_bytes, refilled_bytes)
        self._refilled_at = now

    def spend(self, size_bytes: int) -> bool:
        """Take ``size_bytes`` if available; return whether they were taken."""
        if self._available_bytes < size_bytes:
            return False
        self._available_bytes -= size_bytes
        return True
