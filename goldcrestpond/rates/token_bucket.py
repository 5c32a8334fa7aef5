"""A token bucket that counts in integers."""

import math
from collections import deque
from datetime import timedelta

_MICROSECOND = timedelta(microseconds=1)
# One operation in the units that are counted. Rates and capacities are rounded down to
# whole units (for rates, per microsecond), so that shares never add up to more than 1.
_UNITS_PER_MICROSECOND = 1 << 40
_OPERATION_UNITS = 1_000_000 * _UNITS_PER_MICROSECOND
_MILLIONTH_UNITS = _UNITS_PER_MICROSECOND
# An operation in steady use can be refunded for 3.5 s, after which the first is gone.
PEAK_LIMIT_COUNT = 8
PEAK_SPAN = timedelta(milliseconds=500)


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity; one is taken for each operation.

    In a span ``t`` it yields at most ``rate * t + capacity`` operations that are not
    refunded. It begins empty, with no rate and no capacity.

    A refund never adds more than what the bucket would hold if the operation had not
    been counted: what would have overflowed since then is lost. For this it keeps the
    greatest numbers of tokens in recent spans.

    Parameters
    ----------
    now : timedelta
        Current time.
    """

    __slots__ = ("_capacity", "_peaks", "_rate", "_refundable_after", "_tokens", "_at")

    def __init__(self, now: timedelta):
        self._rate = 0
        self._capacity = 0
        self._tokens = 0
        self._at = now
        self._refundable_after = now
        # Start of each recent span, and the most tokens since then until the next.
        self._peaks: deque[list] = deque([[now, 0]], maxlen=PEAK_LIMIT_COUNT)

    def set_limits(
        self, rate_per_s: float, capacity_count: float, now: timedelta
    ) -> None:
        """Change the rate and the capacity.

        Since the last call either may have applied, so that the lower rate counts.

        Parameters
        ----------
        rate_per_s : float
            Operations per second, finite and not negative.
        capacity_count : float
            Operations that may run at once, finite and not negative.
        now : timedelta
            Current time.
        """
        rate = math.floor(rate_per_s * _UNITS_PER_MICROSECOND)
        self._rate = min(self._rate, rate)
        self._accrue(now)
        self._rate = rate
        capacity = math.floor(capacity_count * _OPERATION_UNITS)
        if capacity > self._capacity:
            # An overflow before this moment was one of the lower capacity.
            for peak in self._peaks:
                peak[1] += capacity - self._capacity
            self._peaks.append([now, self._tokens])
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take(self, now: timedelta) -> bool:
        """Take a token; return False if there is none."""
        self._accrue(now)
        if self._tokens < _OPERATION_UNITS:
            return False
        self._tokens -= _OPERATION_UNITS
        return True

    def refund(self, taken_at: timedelta, now: timedelta) -> None:
        """Return the token of an operation that did not run.

        Parameters
        ----------
        taken_at : timedelta
            When it was taken. If this is long ago, nothing is returned.
        now : timedelta
            Current time.
        """
        self._accrue(now)
        if taken_at <= max(self._refundable_after, self._peaks[0][0]):
            return
        # The last span that began before the token was taken, and those after it.
        since = []
        for peak in reversed(self._peaks):
            since.append(peak)
            if peak[0] < taken_at:
                break
        room = self._capacity - max(peak[1] for peak in since)
        refund = max(0, min(_OPERATION_UNITS, room))
        self._tokens += refund
        for peak in since:
            peak[1] += refund

    def put(self, tokens_millionths: int, now: timedelta) -> None:
        """Add tokens that another bucket gave up, up to the capacity."""
        self._accrue(now)
        added = self._tokens + tokens_millionths * _MILLIONTH_UNITS
        self._tokens = min(self._capacity, added)
        self._forget_taken(now)

    def empty(self, now: timedelta) -> int:
        """Remove all tokens, and return them in millionths of an operation."""
        self._accrue(now)
        millionths = self._tokens // _MILLIONTH_UNITS
        self._tokens = 0
        self._forget_taken(now)
        return millionths

    def wait(self, now: timedelta) -> timedelta | None:
        """Return the time until there is a token; None if there never is one."""
        self._accrue(now)
        missing = _OPERATION_UNITS - self._tokens
        if missing <= 0:
            return timedelta(0)
        if self._rate == 0 or self._capacity < _OPERATION_UNITS:
            return None
        return -(-missing // self._rate) * _MICROSECOND

    def _accrue(self, now: timedelta) -> None:
        if now <= self._at:
            return
        elapsed_us = (now - self._at) // _MICROSECOND
        self._at = now
        tokens = min(self._capacity, self._tokens + elapsed_us * self._rate)
        self._tokens = tokens
        peak = self._peaks[-1]
        if tokens > peak[1]:
            peak[1] = tokens
        if now - peak[0] >= PEAK_SPAN:
            self._peaks.append([now, tokens])

    def _forget_taken(self, now: timedelta) -> None:
        """Refuse to refund what was taken before."""
        self._refundable_after = now
        self._peaks.clear()
        self._peaks.append([now, self._tokens])
