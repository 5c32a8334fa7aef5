"""A token bucket that counts bytes."""

from datetime import timedelta


class ByteBudget:
    """Bytes that may be sent, refilled at a steady rate.

    Parameters
    ----------
    rate_bytes_per_s : int
        Refill per second.
    burst_bytes : int
        Most that adds up unused.
    """

    __slots__ = ("_burst_bytes", "_left_bytes", "_rate_bytes_per_s", "_refilled_at")

    def __init__(self, rate_bytes_per_s: int, burst_bytes: int):
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._left_bytes = float(burst_bytes)
        self._refilled_at: timedelta | None = None

    def refill(self, now: timedelta) -> None:
        """Add what has come in since the last refill."""
        if self._refilled_at is not None:
            passed_s = (now - self._refilled_at).total_seconds()
            grown = self._left_bytes + passed_s * self._rate_bytes_per_s
            self._left_bytes = min(self._burst_bytes, grown)
        self._refilled_at = now

    def spend(self, size_bytes: int) -> bool:
        """Take ``size_bytes`` if they are there; return whether they were."""
        if self._left_bytes < size_bytes:
            return False
        self._left_bytes -= size_bytes
        return True
