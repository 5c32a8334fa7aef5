"""Follows one table of the store (shell)."""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from .decision_log import DecisionLog
from .row_store import FeedAnswer, HistoryLost, RowStore, StoredRow

RETRY_PAUSE_FIRST = timedelta(milliseconds=100)
RETRY_PAUSE_MAX = timedelta(milliseconds=800)  # well within what a change may take


class TableFeed:
    """Reads a table, then its changes; all of it again after lost history or in an era.

    Parameters
    ----------
    store : RowStore
        The store.
    table : str
        Name of the table.
    spacing : callable
        Returns the least time between two calls, so that frequent changes share one.
    wait : timedelta
        How long a call without a change waits; a connection that has gone silent
        is found within it and some more.
    replace : callable
        Given all rows of the table.
    update : callable
        Given the changed rows, removed ones with the value None.
    clock : Clock
        Source of readings.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Told when the store is lost and regained.

    Attributes
    ----------
    confirmed_at : timedelta or None
        Reading at which the last answered call was sent.
    now_ms : float
        The store's clock at the last answer.
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
        """Return how old the last answered call is; None before the first one."""
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
        # A call that goes to a store which is away is lost: ask for what there is until
        # one is answered, or the end of the outage is seen a whole wait late.
        wait = timedelta(0) if self._failures else self._wait
        answer = await self._store.follow(self._table, self._version, wait)
        if answer.era != self._era:
            # The version may exist again, after other changes than those read.
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
