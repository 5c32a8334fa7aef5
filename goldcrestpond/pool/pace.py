"""Paces the operations in flight at a database that has just started or recovered."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from .lane import Lane
from .pace_reason import PaceReason
from .usual_times import UsualTimes

FIRST_WINDOW_COUNT = 1  # operations in flight at first
# A single failure may be that of the connection, and two those of wrong statements.
FAILURES_BEFORE_PACE_COUNT = 3
MIN_ROUND_ANSWERS_COUNT = 2  # of one answer alone, little can be told
# A round of answers is slow if its mean exceeds the usual time of service by this
# factor: statements differ by more than they do on average.
SLOW_FACTOR = 2
# Below this, times of service differ by round trips rather than by work.
MIN_USUAL = timedelta(milliseconds=5)
# A slow round shows that statements queue at the database if it also exceeds the best
# round since the pace began by this factor. Else the database is slow by itself.
QUEUE_FACTOR = 1.5
# Answers without a failure, the last of them with the whole window, after which the
# pace ends.
END_ANSWERS_COUNT = 12
# Of the slots that this instance may use, what is left to a database that alone can do
# its work: about its part of the slots that the database has.
ALONE_FRACTION = 0.5
MIN_ALONE_COUNT = 2  # a long statement leaves room for a short one
# Weight with which a round moves the best one: what stays slow becomes the measure, so
# that the window is not held down for good.
_BEST_DRIFT = 0.1
# While operations fail one after the other, the next one is tried after a pause that
# doubles from the first value to the second.
FIRST_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=1)
# A database that fails again so soon after it recovered must show twice as much each
# time: the first pause, the rounds and the end of the pace grow by up to this factor.
RELAPSE_TIME = timedelta(seconds=10)
MAX_PATIENCE_FACTOR = 8
# Retry-after of a refusal; the pause may end earlier, with an answer that succeeds.
MAX_RETRY_AFTER = timedelta(milliseconds=100)
# A paced database without an operation for this time gets the next read, whatever it is
# expected to cost there: only its answers show how it does.
IDLE_LIMIT = timedelta(milliseconds=100)
REPORT_INTERVAL = timedelta(seconds=1)
_MILLISECOND = timedelta(milliseconds=1)


class Report(Protocol):
    """Receives what the pace decides, for the log."""

    def __call__(self, event: str, **fields: object) -> None:
        """Receive an event with the inputs on which it was based."""


def _ignore(event: str, **fields: object) -> None:
    """Drop a report."""


class Pace:
    """Window of the operations of this instance in flight at one database.

    Outside a pace there is no window. A pace begins with a small window, which doubles
    with each round of answers until the first slow one, then rises by one with each,
    and is halved when answers show that statements queue at the database, or fail. It
    ends when the window has reached the slots of this instance and held.

    All methods get the monotonic time ``now``.

    Parameters
    ----------
    limit : int, default=2
        Slots of this instance at the database: without a pace, as many operations may
        be in flight.
    applies : callable
        Returns whether a pace may begin.
    can_spare : callable
        Returns whether another database can do the work of this one. If none can, the
        window is at least ``ALONE_FRACTION`` of the limit, there are no pauses, and
        nothing is refused for the sake of the pace.
    peers : callable
        Returns the paces of the other databases of the service.
    report : callable
        Receives what is decided.
    """

    __slots__ = (
        "_answers_in_row_count",
        "_applies",
        "_began_at",
        "_best_ratio",
        "_can_spare",
        "_failures_in_row_count",
        "_is_doubling",
        "_last_seen_at",
        "_limit",
        "_next_start_at",
        "_pause",
        "_patience_factor",
        "_peers",
        "_present",
        "_reason",
        "_recovered_at",
        "_report",
        "_reported_at",
        "_reported_window",
        "_round_count",
        "_round_sum",
        "_total_answers_count",
        "_total_failures_count",
        "_usual",
        "_window",
    )

    def __init__(
        self,
        limit: int = 2,
        applies: Callable[[], bool] = lambda: False,
        can_spare: Callable[[], bool] = lambda: False,
        peers: Callable[[], Iterable["Pace"]] = tuple,
        report: Report = _ignore,
    ):
        self._limit = limit
        self._applies = applies
        self._can_spare = can_spare
        self._peers = peers
        self._report = report
        self._usual = UsualTimes()
        self._failures_in_row_count = 0
        self._reason: PaceReason | None = None
        self._patience_factor = 1
        self._recovered_at = -RELAPSE_TIME
        self._reset(timedelta(0))

    @property
    def is_active(self) -> bool:
        """Whether the operations in flight are paced."""
        return self._reason is not None

    def set_limit(self, limit: int) -> None:
        """Set the slots of this instance at the database."""
        self._limit = limit

    def begin(
        self,
        reason: PaceReason,
        now: timedelta,
        start_delay: timedelta = timedelta(0),
    ) -> None:
        """Begin a pace, unless one is under way.

        Parameters
        ----------
        reason : PaceReason
            Why.
        now : timedelta
            Monotonic time.
        start_delay : timedelta, default=0
            Time before the first operation, if another database can do the work.
        """
        if self.is_active or not self._applies():
            return
        if reason is not PaceReason.FAILURES:
            self._patience_factor = 1
        self._reason = reason
        self._reset(now)
        self._next_start_at = now + start_delay
        usual = self._find_longest_usual()
        self._report(
            "pace begun",
            reason=reason.value,
            window=self._window,
            limit=self._limit,
            start_delay_ms=round(start_delay / _MILLISECOND),
            usual_ms=None if usual is None else round(usual / _MILLISECOND, 1),
        )

    def stop(self) -> None:
        """End a pace without a finding: this instance no longer uses the database."""
        self._reason = None

    def window(self, now: timedelta) -> int | None:
        """Return how many operations may be in flight; None if there is no pace."""
        if not self.is_active:
            return None
        if not self._can_spare():
            alone = max(MIN_ALONE_COUNT, round(self._limit * ALONE_FRACTION))
            return min(self._limit, max(alone, self._window))
        if now < self._next_start_at:
            return 0
        return min(self._limit, self._window)

    def admitted(self, now: timedelta) -> int | None:
        """Return how many operations may run or wait; None if any number may.

        What is beyond it is left to another database.
        """
        if not self.is_active or not self._can_spare():
            return None
        window = self.window(now)
        return None if window >= self._limit else window

    def is_due(self, now: timedelta) -> bool:
        """Return whether a database without operations in flight should get one."""
        if not self.admitted(now):
            return False
        return now - self._last_seen_at >= IDLE_LIMIT

    def retry_after(self, now: timedelta) -> timedelta:
        """Return when a refused operation may be tried again."""
        usual = self._find_longest_usual() or MIN_USUAL
        wait = max(usual * SLOW_FACTOR, self._next_start_at - now)
        return min(MAX_RETRY_AFTER, wait)

    def record_answer(
        self, lane: Lane, service_time: timedelta, now: timedelta
    ) -> None:
        """Record an answer, with the time for which it occupied its slot."""
        self._failures_in_row_count = 0
        if not self.is_active:
            self._usual.add(lane, service_time)
            return
        self._last_seen_at = now
        self._total_answers_count += 1
        self._answers_in_row_count += 1
        self._pause = timedelta(0)
        usual = self._find_usual(lane) or self._present.mean(lane) or service_time
        self._present.add(lane, service_time)
        self._round_count += 1
        self._round_sum += service_time / max(usual, MIN_USUAL)
        round_length = max(MIN_ROUND_ANSWERS_COUNT, self._window)
        if self._round_count >= round_length * self._patience_factor:
            self._finish_round(now)

    def record_failure(self, now: timedelta) -> None:
        """Record a refusal, or an operation without a complete answer."""
        self._failures_in_row_count += 1
        is_lasting = self._failures_in_row_count >= FAILURES_BEFORE_PACE_COUNT
        if not self.is_active:
            if is_lasting:
                self._begin_after_failures(now)
            return
        self._last_seen_at = now
        self._total_failures_count += 1
        self._answers_in_row_count = 0
        self._is_doubling = False
        self._start_round()
        self._change_window(max(1, self._window // 2), now, "failure", None)
        # Those that fail during a pause were sent before it.
        if is_lasting and now >= self._next_start_at:
            self._pause = min(MAX_PAUSE, max(FIRST_PAUSE, self._pause * 2))
            self._next_start_at = now + self._pause

    def _begin_after_failures(self, now: timedelta) -> None:
        has_relapsed = now - self._recovered_at < RELAPSE_TIME
        longer = min(MAX_PATIENCE_FACTOR, self._patience_factor * 2)
        self._patience_factor = longer if has_relapsed else 1
        pause = min(MAX_PAUSE, FIRST_PAUSE * self._patience_factor)
        self.begin(PaceReason.FAILURES, now, pause)
        self._pause = pause

    def _reset(self, now: timedelta) -> None:
        self._began_at = now
        self._window = min(FIRST_WINDOW_COUNT, self._limit)
        self._is_doubling = True
        self._pause = timedelta(0)
        self._next_start_at = now
        self._last_seen_at = now - IDLE_LIMIT
        self._best_ratio: float | None = None
        self._present = UsualTimes()
        self._answers_in_row_count = 0
        self._total_answers_count = 0
        self._total_failures_count = 0
        self._reported_at = now
        self._reported_window = self._window
        self._start_round()

    def _start_round(self) -> None:
        self._round_count = 0
        self._round_sum = 0.0

    def _finish_round(self, now: timedelta) -> None:
        ratio = self._round_sum / self._round_count
        self._start_round()
        best_ratio = max(1.0, ratio if self._best_ratio is None else self._best_ratio)
        drifted_ratio = best_ratio + (ratio - best_ratio) * _BEST_DRIFT
        self._best_ratio = max(1.0, min(ratio, drifted_ratio))
        is_slow = ratio > SLOW_FACTOR
        if is_slow:
            self._is_doubling = False
        if is_slow and ratio > best_ratio * QUEUE_FACTOR:
            self._answers_in_row_count = 0
            self._change_window(max(1, self._window // 2), now, "queueing", ratio)
            return
        if self._window >= self._limit:
            needed_count = END_ANSWERS_COUNT * self._patience_factor
            if self._answers_in_row_count >= needed_count:
                self._end(now)
            return
        window = self._window * 2 if self._is_doubling else self._window + 1
        self._change_window(min(self._limit, window), now, "answers", ratio)

    def _change_window(
        self, window: int, now: timedelta, cause: str, ratio: float | None
    ) -> None:
        self._window = window
        if now - self._reported_at < REPORT_INTERVAL or window == self._reported_window:
            return
        self._report(
            "pace changed",
            cause=cause,
            window=window,
            former=self._reported_window,
            limit=self._limit,
            ratio=None if ratio is None else round(ratio, 2),
        )
        self._reported_at = now
        self._reported_window = window

    def _end(self, now: timedelta) -> None:
        self._report(
            "pace ended",
            reason=self._reason.value,
            after_ms=round((now - self._began_at) / _MILLISECOND),
            answers=self._total_answers_count,
            failures=self._total_failures_count,
            best_ratio=round(self._best_ratio or 0, 2),
        )
        if self._total_failures_count or self._reason is PaceReason.FAILURES:
            self._recovered_at = now
        self._reason = None

    def _find_longest_usual(self) -> timedelta | None:
        times = [self._find_usual(lane) for lane in Lane]
        return max((time for time in times if time is not None), default=None)

    def _find_usual(self, lane: Lane) -> timedelta | None:
        """Return the time of service that its own past or its peers show."""
        own = self._usual.usual(lane)
        if own is not None:
            return own
        times = [peer._usual.usual(lane) for peer in self._peers()]
        known = [time for time in times if time is not None]
        return sum(known, timedelta(0)) / len(known) if known else None
