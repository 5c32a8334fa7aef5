"""Limit of the statements in flight, by whether they are answered in time.

An instance with too little processor time serves all of its statements late, if it
takes them all: beyond its capacity goodput falls to nothing, and callers that ask again
keep it there. It therefore takes as many as it has lately answered in time, and refuses
the rest at once, which costs little. Only its own delay lowers the limit: statements
are also late when a database or another instance is slow, and refusing those of others
would not help.
"""

from datetime import timedelta

# The loop of an instance with time to spare runs what is due within a few milliseconds;
# with a tenth of a core, under a load that it bears, within some ten.
LAG_LIMIT = timedelta(milliseconds=25)
INITIAL_COUNT = 32
MIN_COUNT = 2
MAX_COUNT = 512
# The limit falls to this part of what was in flight, at most once in `FALL_INTERVAL`:
# statements that were admitted before a fall are still late after it.
FALL_FACTOR = 0.75
FALL_INTERVAL = timedelta(milliseconds=200)
# Part of a new sample in the mean lag.
LAG_WEIGHT = 0.2
# Callers that are refused come back after about the time in which the limit has fallen.
RETRY_AFTER = timedelta(milliseconds=200)


class LoadLimit:
    """Admits statements by the instance's own delay and by their latency.

    Attributes
    ----------
    in_flight_count : int
        Admitted statements that have not ended.
    lag : timedelta
        Mean delay of the event loop.
    """

    __slots__ = ("_count", "_fell_at", "in_flight_count", "lag")

    def __init__(self) -> None:
        self._count: float = INITIAL_COUNT
        self._fell_at: timedelta | None = None
        self.in_flight_count = 0
        self.lag = timedelta(0)

    @property
    def limit_count(self) -> int:
        """Statements that may be in flight."""
        return int(self._count)

    def observe_lag(self, lag: timedelta) -> None:
        """Add a sample of the event loop's delay."""
        self.lag += (lag - self.lag) * LAG_WEIGHT

    def try_admit(self) -> bool:
        """Admit a statement; return False if it is to be refused."""
        if self.lag > LAG_LIMIT and self.in_flight_count >= self._count:
            return False
        self.in_flight_count += 1
        return True

    def record_end(
        self, elapsed: timedelta, objective: timedelta, now: timedelta
    ) -> None:
        """Record the end of an admitted statement.

        Parameters
        ----------
        elapsed : timedelta
            Time that it took.
        objective : timedelta
            Time that it should have taken at most.
        now : timedelta
            Monotonic time.
        """
        in_flight_count = self.in_flight_count
        self.in_flight_count -= 1
        if elapsed <= objective:
            self._count = min(MAX_COUNT, self._count + 1 / self._count)
            return
        has_fallen = self._fell_at is not None and now - self._fell_at < FALL_INTERVAL
        if self.lag > LAG_LIMIT and not has_fallen:
            fallen = min(self._count, in_flight_count) * FALL_FACTOR
            self._count = max(MIN_COUNT, fallen)
            self._fell_at = now
