"""Which life of the store its answers come from."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .decision_log import DecisionLog
from .metrics import Metrics


class StoreEra:
    """The newest era that an answer of the store has shown.

    A store that comes back from a copy raises its era: rows that were written since
    the copy are gone, and their versions are given out again.

    Parameters
    ----------
    clock : Clock
        Source of readings.
    log : DecisionLog
        Told of each change.
    metrics : Metrics
        Counts the changes.

    Attributes
    ----------
    current : int
        The era; 0 while the store names none.
    since : timedelta or None
        Reading at which it was first heard of; None before any answer.
    """

    __slots__ = ("_changed", "_clock", "_log", "_metrics", "current", "since")

    def __init__(self, clock: Clock, log: DecisionLog, metrics: Metrics):
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._changed = anyio.Event()
        self.current = 0
        self.since: timedelta | None = None

    def accept_era(self, era: int) -> bool:
        """Take in the era of an answer; return whether the answer still counts."""
        if era < self.current:
            return False
        if self.since is None or era > self.current:
            self._begin(era)
        return True

    async def wait_for_change(self, known: int, limit: timedelta) -> bool:
        """Wait for another era than a known one; return whether it began in time."""
        with anyio.move_on_after(max(0.0, limit.total_seconds())):
            while self.current == known:
                await self._changed.wait()
        return self.current != known

    def _begin(self, era: int) -> None:
        is_first = self.since is None
        former, self.current = self.current, era
        self.since = self._clock.now()
        if is_first:
            return
        self._log.decision("store came back from a copy", era=era, former=former)
        self._metrics.count("store_returns_total")
        self._changed.set()
        self._changed = anyio.Event()
