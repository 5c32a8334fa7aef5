"""Follows the changes of one table of the store."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .decision_log import DecisionLog
from .row_store import FeedAnswer, HistoryLost, RowStore, StoredRow

RETRY_PAUSE_FIRST = timedelta(milliseconds=100)
# Well below the time within which a change must take effect.
RETRY_PAUSE_MAX = timedelta(milliseconds=800)


class TableFeed:
    """Reads a whole table, then its changes.

    Reads the whole table again if the store no longer has all changes, or if the
    store's era has changed.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        Name of the table.
    spacing : callable
        Returns the minimum time between two calls, so that one call returns several
        frequent changes.
    wait : timedelta
        How long the store may wait for a change before it answers a call. A silent
        connection is detected somewhat later than that.
    replace : callable
        Called with all rows of the table.
    update : callable
        Called with the changed rows; the value of a removed one is None.
    clock : Clock
        Source of the time.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Receives an event when the store becomes unreachable or reachable.

    Attributes
    ----------
    confirmed_at : timedelta or None
        Time at which the last answered call was sent.
    now_ms : float
        Time on the store's clock at the last answer.
    """

    __slots__ = (
        "_clock",
        "_era",
        "_failures",
        "_log",
        "_replace",
        "_rng",
        "_spacing",
        "_store",
        "_table",
        "_update",
        "_version",
        "_wait",
        "confirmed_at",
        "now_ms",
    )

    def __init__(
        self,
        store: RowStore,
        table: str,
        spacing: Callable[[], timedelta],
        wait: timedelta,
        replace: Callable[[Sequence[StoredRow]], None],
        update: Callable[[Sequence[StoredRow]], None],
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
    ):
        self._store = store
        self._table = table
        self._spacing = spacing
        self._wait = wait
        self._replace = replace
        self._update = update
        self._clock = clock
        self._rng = rng
        self._log = log
        self._version: int | None = None
        self._era = 0
        self._failures = 0
        self.confirmed_at: timedelta | None = None
        self.now_ms = 0.0

    @property
    def is_reachable(self) -> bool:
        """Whether the last call was answered."""
        return self._failures == 0 and self.confirmed_at is not None

    def confirmed_age(self) -> timedelta | None:
        """Return the time since the last answered call was sent; None before it."""
        if self.confirmed_at is None:
            return None
        return self._clock.now() - self.confirmed_at

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            sent_at = self._clock.now()
            try:
                answer = await self._next()
            except HistoryLost:
                self._log.decision("history lost", table=self._table)
                self._version = None
                continue
            except CodedError as error:
                await self._pause_after(error, sent_at)
                continue
            self._record_answer(answer, sent_at)
            pause = sent_at + self._spacing() - self._clock.now()
            await anyio.sleep(max(0.0, pause.total_seconds()))

    async def _next(self) -> FeedAnswer:
        if self._version is None:
            answer = await self._store.read(self._table)
            self._era = answer.era
            self._replace(answer.rows)
            return answer
        # A call that is sent while the store is unreachable gets no answer. A long one
        # would delay the detection of the store's return by up to ``wait``, so calls
        # don't wait for a change until one has been answered.
        wait = timedelta(0) if self._failures else self._wait
        answer = await self._store.wait_for_changes(self._table, self._version, wait)
        if answer.era != self._era:
            # The new era may reuse the version for other changes than those read.
            raise HistoryLost
        if answer.rows:
            self._update(answer.rows)
        return answer

    def _record_answer(self, answer: FeedAnswer, sent_at: timedelta) -> None:
        if self._failures:
            self._log.decision(
                "store regained",
                table=self._table,
                failures=self._failures,
                confirmed_age_ms=_to_ms(self.confirmed_age()),
            )
        self._failures = 0
        self._version = max(answer.version, self._version or 0)
        self.confirmed_at = sent_at
        self.now_ms = answer.now_ms

    async def _pause_after(self, error: CodedError, sent_at: timedelta) -> None:
        if not self._failures:
            self._log.decision(
                "store lost",
                table=self._table,
                detail=error.detail,
                waited_ms=_to_ms(self._clock.now() - sent_at),
                confirmed_age_ms=_to_ms(self.confirmed_age()),
            )
        self._failures += 1
        ceiling = min(RETRY_PAUSE_MAX, RETRY_PAUSE_FIRST * 2 ** min(self._failures, 10))
        await anyio.sleep(ceiling.total_seconds() * self._rng.uniform(0.5, 1))


def _to_ms(span: timedelta | None) -> int | None:
    return None if span is None else span // timedelta(milliseconds=1)
