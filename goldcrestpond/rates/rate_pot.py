"""One part of an organisation's rate, of which this instance may spend a share."""

from datetime import timedelta

from .share_history import ShareHistory
from .token_bucket import TokenBucket


class RatePot:
    """The share of this instance, and the tokens that it has of it.

    Attributes
    ----------
    history : ShareHistory
        Shares by the members' table.
    share : float
        Share that may be spent, as of the last call of `settle`.
    """

    __slots__ = ("_bucket", "_capacity_count", "_rate_per_s", "history", "share")

    def __init__(self) -> None:
        self.history = ShareHistory()
        self.share: float = 0
        self._rate_per_s: float = 0
        self._capacity_count: float = 0
        self._bucket: TokenBucket | None = None  # only where a share was spent

    def set_limits(
        self, rate_per_s: float, capacity_count: float, now: timedelta
    ) -> None:
        """Change the rate and the capacity of the whole part, at once."""
        if (rate_per_s, capacity_count) == (self._rate_per_s, self._capacity_count):
            return
        self._rate_per_s = rate_per_s
        self._capacity_count = capacity_count
        self._limit_bucket(now)

    def settle(self, earliest: timedelta, latest: timedelta, now: timedelta) -> None:
        """Apply the share that the table gave between two times.

        One that was lost before it began never begins: those who missed that it was
        given away may have gone on.
        """
        share = self.history.share_between(earliest, latest)
        share = min(share, max(self.share, self.history.current))
        if share != self.share:
            self._apply(share, now)

    def take(self, now: timedelta) -> bool:
        """Take a token; return False if there is none."""
        return self.share > 0 and self._bucket.take(now)

    def refund(self, taken_at: timedelta, now: timedelta) -> None:
        """Return the token of an operation that did not run."""
        if self._bucket is not None:
            self._bucket.refund(taken_at, now)

    def wait(self, now: timedelta) -> timedelta | None:
        """Return the time until there is a token; None if it cannot be told."""
        return self._bucket.wait(now) if self.share > 0 else None

    def spacing(self, longest: timedelta) -> timedelta:
        """Return the time between two tokens of the whole part, up to ``longest``."""
        longest_s = longest.total_seconds()
        if self._rate_per_s * longest_s <= 1:
            return longest
        return timedelta(seconds=1 / self._rate_per_s)

    def stop(self, now: timedelta) -> int:
        """Stop to spend the share; return its tokens in millionths of an operation.

        A share that the table still gives begins anew.
        """
        millionths = self._bucket.empty(now) if self._bucket is not None else 0
        self.history.restart(now)
        self._apply(0, now)
        return millionths

    def begin(self, share: float, tokens_millionths: int, now: timedelta) -> None:
        """Begin a share at once, with the tokens of who spent it before."""
        self.history.begin(share)
        self._apply(share, now)
        self._bucket.put(tokens_millionths, now)

    def resume(self, share: float, since: timedelta, now: timedelta) -> None:
        """Begin a share at once, with what it has earned since a time."""
        earned_count = (
            share * self._rate_per_s * max(0.0, (now - since).total_seconds())
        )
        self.begin(share, int(earned_count * 1e6), now)

    def _apply(self, share: float, now: timedelta) -> None:
        self.share = share
        if share > 0 and self._bucket is None:
            self._bucket = TokenBucket(now)
        self._limit_bucket(now)

    def _limit_bucket(self, now: timedelta) -> None:
        if self._bucket is not None:
            rate_per_s = self.share * self._rate_per_s
            self._bucket.set_limits(rate_per_s, self.share * self._capacity_count, now)
