"""The window of a pace: begin, growth, cuts, pauses and end."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.pace import (
    END_ANSWERS_COUNT,
    FAILURES_BEFORE_PACE_COUNT,
    FIRST_PAUSE,
    IDLE_LIMIT,
    MAX_PATIENCE_FACTOR,
    MAX_PAUSE,
    MIN_ALONE_COUNT,
    REPORT_INTERVAL,
    Pace,
)
from goldcrestpond.pool.pace_reason import PaceReason

LIMIT = 12
USUAL_MS = 20


def _ms(count):
    return timedelta(milliseconds=count)


class _Peer(Pace):
    """Another database of the service, with many answers of the usual time."""

    def __init__(self):
        super().__init__()
        for _ in range(100):
            self.record_answer(Lane.SHORT, _ms(USUAL_MS), _ms(0))


class _PacedDatabase:
    """A pace with its time, its log and whether others can do the work."""

    def __init__(self, limit=LIMIT, has_peer=True):
        self.now, self.is_spared, self.lines = _ms(1000), True, []
        peers = [_Peer()] if has_peer else []
        self.pace = Pace(
            limit,
            applies=lambda: True,
            can_spare=lambda: self.is_spared,
            peers=lambda: peers,
            report=lambda event, **fields: self.lines.append((event, fields)),
        )

    @property
    def window(self):
        return self.pace.window(self.now)

    def begin(self, reason=PaceReason.LISTED, delay=timedelta(0)):
        self.pace.begin(reason, self.now, delay)

    def answer(self, count=1, service_ms=USUAL_MS):
        for _ in range(count):
            self.now += _ms(1)
            self.pace.record_answer(Lane.SHORT, _ms(service_ms), self.now)

    def fail(self, count=1):
        for _ in range(count):
            self.now += _ms(1)
            self.pace.record_failure(self.now)

    def answer_round(self, service_ms=USUAL_MS):
        self.answer(max(2, self.window), service_ms)

    def recover(self):
        while self.pace.is_active:
            self.answer()

    def events(self):
        return [event for event, _ in self.lines]


# Guards against: databases in normal operation are limited by the pace.
def test_without_a_pace_there_is_no_window():
    database = _PacedDatabase()
    database.answer(50, service_ms=500)
    assert_that(database.window, Is(None))
    assert_that(database.pace.admitted(database.now), Is(None))
    assert_that(database.pace.is_due(database.now), Is(False))
    database.fail(FAILURES_BEFORE_PACE_COUNT - 1)
    assert_that(database.window, Is(None))


# Guards against: an instance that relays to holders begins a pace.
def test_pace_that_does_not_apply_never_begins():
    pace = Pace()
    pace.begin(PaceReason.LISTED, _ms(0))
    for _ in range(10):
        pace.record_failure(_ms(0))
    assert_that(pace.is_active, Is(False))


def test_window_doubles_with_each_round_of_answers_until_it_ends():
    database = _PacedDatabase()
    database.begin()
    windows = []
    while database.pace.is_active:
        windows.append(database.window)
        database.answer_round()
    assert_that(windows, Equals([1, 2, 4, 8, 12]))
    assert_that(database.events(), Equals(["pace begun", "pace ended"]))


# Guards against: a database that is still cold, and slow by itself, is left idle until
# it has warmed up.
def test_slow_answers_that_do_not_get_slower_let_the_window_rise_by_one():
    database = _PacedDatabase()
    database.begin()
    windows = []
    for _ in range(5):
        windows.append(database.window)
        database.answer_round(service_ms=USUAL_MS * 4)
    assert_that(windows, Equals([1, 2, 3, 4, 5]))


# Guards against: the window rises on while statements queue at the database.
def test_answers_that_get_slower_halve_the_window():
    database = _PacedDatabase()
    database.begin()
    for _ in range(3):
        database.answer_round()
    assert_that(database.window, Equals(8))
    database.answer_round(service_ms=USUAL_MS * 4)
    assert_that(database.window, Equals(4))
    database.answer_round()
    assert_that(database.window, Equals(5))


def test_failure_halves_the_window():
    database = _PacedDatabase()
    database.begin()
    for _ in range(3):
        database.answer_round()
    database.fail()
    assert_that(database.window, Equals(4))


# Guards against: a database that has become slower for good is held down for good.
def test_lasting_slowness_becomes_the_measure():
    database = _PacedDatabase()
    database.begin()
    database.answer_round()
    for _ in range(600):
        database.answer(service_ms=USUAL_MS * 5)
    assert_that(database.pace.is_active, Is(False))


# Guards against: on a fast network, statements of a millisecond that now and then take
# three look as if they queued.
def test_differences_of_a_few_milliseconds_show_no_queueing():
    database = _PacedDatabase(has_peer=False)
    database.begin()
    for service_ms in (1, 3) * 8:
        if database.pace.is_active:
            database.answer_round(service_ms)
    assert_that(database.pace.is_active, Is(False))


# Guards against: without another database to compare with, the window never rises.
def test_window_rises_where_nothing_is_known_to_be_usual():
    database = _PacedDatabase(has_peer=False)
    database.begin()
    for _ in range(4):
        database.answer_round(service_ms=70)
    assert_that(database.window, Equals(12))


# Guards against: a database that fails all is flooded with attempts, or is left alone
# for seconds after it has recovered.
def test_failures_in_a_row_begin_a_pace_with_bounded_pauses():
    database = _PacedDatabase()
    database.answer(20)
    database.fail(FAILURES_BEFORE_PACE_COUNT)
    pauses = []
    for _ in range(6):
        began_at = database.now
        assert_that(database.window, Equals(0))
        while database.window == 0:
            database.now += _ms(1)
        pauses.append(database.now - began_at)
        assert_that(database.window, Equals(1))
        database.fail()
    assert_that(pauses[0], Equals(FIRST_PAUSE))
    assert_that(pauses, Equals(sorted(pauses)))
    assert_that(max(pauses), Equals(MAX_PAUSE))
    database.now += MAX_PAUSE
    database.answer()
    assert_that(database.window, Equals(1))
    database.recover()
    assert_that(database.window, Is(None))


# Guards against: many statements that fail together count as many failed attempts.
def test_failures_during_a_pause_do_not_lengthen_it():
    database = _PacedDatabase()
    database.fail(FAILURES_BEFORE_PACE_COUNT)
    began_at = database.now
    for _ in range(10):
        database.pace.record_failure(database.now)
    assert_that(database.pace.window(began_at + FIRST_PAUSE), Equals(1))


# Guards against: a database that goes down and up by turns gets as much each time.
def test_relapse_needs_more_answers_each_time():
    database, needed = _PacedDatabase(), []
    for _ in range(6):
        database.fail(FAILURES_BEFORE_PACE_COUNT)
        database.now += MAX_PAUSE
        database.answer()
        count = 1
        while database.pace.is_active:
            database.answer()
            count += 1
        needed.append(count)
    assert_that(needed, Equals(sorted(needed)))
    assert_that(needed[1] > needed[0], Is(True))
    # The window is at the limit when the last answers are counted.
    bound = MAX_PATIENCE_FACTOR * (LIMIT * 3 + END_ANSWERS_COUNT + LIMIT)
    assert_that(needed[-1] < bound, Is(True))


# Guards against: a leader, or the only database left, is starved by its pace.
@pytest.mark.parametrize("limit", [2, 3, 5, 12])
def test_database_that_alone_can_do_its_work_keeps_about_its_slots(limit):
    database = _PacedDatabase(limit)
    database.is_spared = False
    database.begin(delay=_ms(300))
    least = min(limit, max(MIN_ALONE_COUNT, round(limit / 2)))
    assert_that(database.window, Equals(least))
    database.fail(20)
    assert_that(database.window, Equals(least))
    assert_that(database.pace.admitted(database.now), Is(None))


# Guards against: a paced database whose cost is high gets no work, and so never shows
# that it does well.
def test_paced_database_without_operations_is_due_soon():
    database = _PacedDatabase()
    database.begin(delay=_ms(100))
    assert_that(database.pace.is_due(database.now), Is(False))
    database.now += _ms(100)
    assert_that(database.pace.is_due(database.now), Is(True))
    database.answer()
    assert_that(database.pace.is_due(database.now), Is(False))
    database.now += IDLE_LIMIT
    assert_that(database.pace.is_due(database.now), Is(True))


def test_instance_that_no_longer_uses_the_database_ends_the_pace():
    database = _PacedDatabase()
    database.begin()
    database.pace.stop()
    assert_that(database.window, Is(None))


# Guards against: a grey database writes a log line with each answer.
def test_changes_are_logged_at_most_once_per_interval():
    database = _PacedDatabase()
    database.begin()
    began_at = database.now
    for _ in range(1000):
        database.answer(3)
        database.fail()
    seconds = (database.now - began_at) / REPORT_INTERVAL
    changed = database.events().count("pace changed")
    assert_that(0 < changed <= seconds, Is(True), changed)


_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("answer"), st.integers(1, 400)),
        st.tuples(st.just("fail"), st.integers(1, 4)),
        st.tuples(st.just("wait"), st.integers(1, 3000)),
        st.tuples(st.just("limit"), st.integers(2, 30)),
        st.tuples(st.just("spare"), st.integers(0, 1)),
        st.tuples(st.just("begin"), st.integers(0, 400)),
    ),
    max_size=60,
)


@given(_STEPS)
def test_window_stays_within_its_bounds_and_converges(steps):
    database, limit = _PacedDatabase(), LIMIT
    zero_since = None
    for step, value in steps:
        match step:
            case "answer":
                database.answer(service_ms=value)
            case "fail":
                database.fail(value)
            case "wait":
                database.now += _ms(value)
            case "limit":
                limit = value
                database.pace.set_limit(limit)
            case "spare":
                database.is_spared = bool(value)
            case "begin":
                database.begin(delay=_ms(value))
        window = database.window
        assert window is None or 0 <= window <= limit
        if window == 0:
            assert database.is_spared
            zero_since = database.now
            assert database.pace.window(database.now + MAX_PAUSE) >= 1
        admitted = database.pace.admitted(database.now)
        assert admitted is None or (admitted < limit and database.is_spared)
        assert timedelta(0) < database.pace.retry_after(database.now) <= MAX_PAUSE
    # Whatever came before: with good answers, the pace ends.
    database.now += MAX_PAUSE
    for _ in range(MAX_PATIENCE_FACTOR * (limit * limit + limit + END_ANSWERS_COUNT)):
        database.answer()
    assert database.window is None, zero_since
