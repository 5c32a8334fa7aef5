"""Tracks the era of the store, which rises when it is restored from a copy."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .decision_log import DecisionLog
from .metrics import Metrics


class StoreEra:
    """The newest era that an answer of the store has named.

    A store that is restored from a copy increments its era: rows that were written
    after the copy was taken are lost, and their versions are assigned again.

    Parameters
    ----------
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives an event for each change.
    metrics : Metrics
        Counts the changes.

    Attributes
    ----------
    current : int
        The era; 0 while the store names none.
    began_at : timedelta or None
        Time of the first answer in this era; None before any answer.
    """

    __slots__ = ("_changed", "_clock", "_log", "_metrics", "began_at", "current")

    def __init__(self, clock: Clock, log: DecisionLog, metrics: Metrics):
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._changed = anyio.Event()
        self.current = 0
        self.began_at: timedelta | None = None

    def accept_era(self, era: int) -> bool:
        """Record an answer's era; return False if the answer is of an earlier era."""
        if era < self.current:
            return False
        if self.began_at is None or era > self.current:
            self._begin(era)
        return True

    async def wait_for_change(self, known: int, limit: timedelta) -> bool:
        """Wait until the era differs from ``known``; return False at the time limit."""
        with anyio.move_on_after(max(0.0, limit.total_seconds())):
            while self.current == known:
                await self._changed.wait()
        return self.current != known

    def _begin(self, era: int) -> None:
        is_first = self.began_at is None
        previous, self.current = self.current, era
        self.began_at = self._clock.now()
        if is_first:
            return
        self._log.decision("store came back from a copy", era=era, former=previous)
        self._metrics.count("store_returns_total")
        self._changed.set()
        self._changed = anyio.Event()
