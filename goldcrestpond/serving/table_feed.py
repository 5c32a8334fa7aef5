"""Follows the changes of one table of the store."""

import random
from collections.abc import Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from .decision_log import DecisionLog
from .row_store import FeedAnswer, HistoryLost, RowStore, StoredRow
from .table_copy import TableCopy

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
    copy : TableCopy
        Receives the rows.
    spacing : callable
        Returns the minimum time between two calls, so that one call returns several
        frequent changes.
    wait : timedelta
        How long the store may wait for a change before it answers a call. A silent
        connection is detected somewhat later than that.
    clock : Clock
        Source of the time.
    rng : random.Random
        Source of jitter.
    log : DecisionLog
        Receives an event when the store becomes unreachable or reachable.
    translate : callable
        Returns the row that is kept and passed on for a row of the store.
    confirms_first : bool
        Whether the first call of each `run` is answered at once, so that rows that are
        nearly too old are confirmed without the wait for a change.

    Attributes
    ----------
    copy : TableCopy
        The rows that were read.
    is_reachable : bool
        Whether the last call was answered; False before the first.
    """

    __slots__ = (
        "_clock",
        "_confirms_first",
        "_failures",
        "_is_history_lost",
        "_log",
        "_rng",
        "_spacing",
        "_store",
        "_translate",
        "_wait",
        "copy",
        "is_reachable",
        "on_reachable",
    )

    def __init__(
        self,
        store: RowStore,
        copy: TableCopy,
        spacing: Callable[[], timedelta],
        wait: timedelta,
        clock: Clock,
        rng: random.Random,
        log: DecisionLog,
        translate: Callable[[StoredRow], StoredRow] = lambda row: row,
        confirms_first: bool = False,
    ):
        self._confirms_first = confirms_first
        self._store = store
        self._translate = translate
        self.copy = copy
        self._spacing = spacing
        self._wait = wait
        self._clock = clock
        self._rng = rng
        self._log = log
        self._is_history_lost = False
        self._failures = 0
        self.is_reachable = False
        self.on_reachable: Callable[[], None] = lambda: None

    def confirmed_age(self) -> timedelta | None:
        """Return the time since the rows were known to be complete."""
        return self.copy.age(self._clock.now())

    async def run(self) -> None:
        """Follow the table until cancelled, from what the copy contains."""
        self._set_reachable(False)
        is_confirmed = not self._confirms_first
        while True:
            sent_at = self._clock.now()
            try:
                # A call that is sent while the store is unreachable gets no answer. A
                # long one would delay the detection of the store's return by up to
                # ``wait``, so calls don't wait until one has been answered.
                must_wait = is_confirmed and not self._failures
                wait = self._wait if must_wait else timedelta(0)
                known_at = await self._next(wait)
            except HistoryLost:
                self._log.decision("history lost", table=self.copy.table)
                self._is_history_lost = True
                continue
            except CodedError as error:
                await self._pause_after(error, sent_at)
                continue
            self._record_answer(known_at)
            is_confirmed = True
            pause = sent_at + self._spacing() - self._clock.now()
            await anyio.sleep(max(0.0, pause.total_seconds()))

    async def read_once(self) -> bool:
        """Read the table or its changes once; return whether the store answered."""
        sent_at = self._clock.now()
        try:
            known_at = await self._next(timedelta(0))
        except HistoryLost:
            self._is_history_lost = True
            return False
        except CodedError as error:
            self._record_failure(error, sent_at)
            return False
        self._record_answer(known_at)
        return True

    async def _next(self, wait: timedelta) -> timedelta:
        """Make the next call; return a time at which the rows were complete."""
        sent_at = self._clock.now()
        copy = self.copy
        if copy.version is None or self._is_history_lost:
            answer = await self._store.read(copy.table)
            rows = self._translated(answer)
            if not copy.replace(rows, answer.era, answer.version):
                # An answer of an earlier state confirms nothing about the known rows.
                detail = (
                    f"{copy.table}: {answer.era}, {answer.version} is older than"
                    f" {copy.era}, {copy.version}"
                )
                raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, detail)
            self._is_history_lost = False
            return sent_at
        answer = await self._store.wait_for_changes(copy.table, copy.version, wait)
        if not copy.update(self._translated(answer), answer.era, answer.version):
            # The new era may reuse the version for other changes than those read.
            raise HistoryLost
        # A call that returned nothing has waited for a change all the time.
        has_waited = not answer.rows and self._clock.now() - sent_at >= wait
        return sent_at + wait if has_waited else sent_at

    def set_wait(self, wait: timedelta, confirms_first: bool) -> None:
        """Change how long the store may wait for a change, from the next call on."""
        self._wait = wait
        self._confirms_first = confirms_first

    def _translated(self, answer: FeedAnswer) -> list[StoredRow]:
        return [self._translate(row) for row in answer.rows]

    def _set_reachable(self, is_reachable: bool) -> None:
        if is_reachable != self.is_reachable:
            self.is_reachable = is_reachable
            self.on_reachable()

    def _record_answer(self, known_at: timedelta) -> None:
        if self._failures:
            self._log.decision(
                "store regained",
                table=self.copy.table,
                failures=self._failures,
                confirmed_age_ms=_to_ms(self.confirmed_age()),
            )
        self._failures = 0
        self.copy.confirm(known_at)
        self._set_reachable(True)

    async def _pause_after(self, error: CodedError, sent_at: timedelta) -> None:
        self._record_failure(error, sent_at)
        ceiling = min(RETRY_PAUSE_MAX, RETRY_PAUSE_FIRST * 2 ** min(self._failures, 10))
        await anyio.sleep(ceiling.total_seconds() * self._rng.uniform(0.5, 1))

    def _record_failure(self, error: CodedError, sent_at: timedelta) -> None:
        if not self._failures:
            self._log.decision(
                "store lost",
                table=self.copy.table,
                detail=error.detail,
                waited_ms=_to_ms(self._clock.now() - sent_at),
                confirmed_age_ms=_to_ms(self.confirmed_age()),
            )
        self._failures += 1
        self._set_reachable(False)


def _to_ms(span: timedelta | None) -> int | None:
    return None if span is None else span // timedelta(milliseconds=1)
