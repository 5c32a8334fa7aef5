"""Loads: most callers reach one of several holders; all holders are busy."""

import heapq
import random
from datetime import timedelta
from statistics import mean

from hypothesis import given
from hypothesis import strategies as st

from goldcrestpond.pool.demand_share import UNUSED_TIME, DemandShare
from goldcrestpond.pool.lane import Lane

SLOTS = 6
PART = 2
HOLDERS = 6
WORK_MS = 27


def ms(number):
    return timedelta(milliseconds=number)


class Database:
    """A database with some slots and a queue without priorities."""

    def __init__(self):
        self.free_at = [0.0] * SLOTS
        heapq.heapify(self.free_at)

    def run(self, arrived_at, work_ms):
        started_at = max(arrived_at, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, started_at + work_ms)
        return started_at + work_ms


def play(phases, borrows=True, seed=1):
    """Play phases of loads; return waits and in-flight counts of the last phase.

    Each phase is its end in ms and the requests per second of each holder. A request
    waits at its holder until one of the holder's slots is free. Returned are the mean
    wait of each holder in ms, and the mean number of statements at the database.
    """
    rng = random.Random(seed)
    database = Database()
    ceiling = SLOTS if borrows else PART
    shares = [DemandShare(PART, ceiling) for _ in range(HOLDERS)]
    arrivals, began_at = [], 0.0
    for until_ms, load_per_s in phases:
        last_began_at = began_at
        for holder, per_s in enumerate(load_per_s):
            at = began_at + rng.expovariate(per_s) * 1000
            while at < until_ms:
                arrivals.append((at, 0, holder))
                at += rng.expovariate(per_s) * 1000
        began_at = until_ms
    in_flight_counts = []
    heapq.heapify(arrivals)
    waiting = [[] for _ in shares]
    running = [0] * len(shares)
    waits = [[] for _ in shares]
    while arrivals:
        at, sent_at, holder = heapq.heappop(arrivals)
        if sent_at:
            running[holder] -= 1
            is_short = bool(waiting[holder])
            shares[holder].record_answer(Lane.SHORT, ms(at - sent_at), is_short, ms(at))
        else:
            waiting[holder].append(at)
        while waiting[holder] and running[holder] < shares[holder].limit:
            arrived_at = waiting[holder].pop(0)
            running[holder] += 1
            if last_began_at <= at < until_ms:
                waits[holder].append(at - arrived_at)
                in_flight_counts.append(sum(running))
            work_ms = WORK_MS * rng.lognormvariate(-0.125, 0.5)
            heapq.heappush(arrivals, (database.run(at, work_ms), at, holder))
    return [mean(w) for w in waits], mean(in_flight_counts)


# Failure: the network is split; most callers reach one holder, whose equal part of the
# slots is far too small, while the database is half idle.
def test_most_callers_reach_one_holder():
    phases = [(4000, [25] * HOLDERS), (9000, [110, 8, 8, 8, 8, 8])]
    equal_ms, _ = play(phases, borrows=False)
    borrowed_ms, _ = play(phases)
    assert equal_ms[0] > 500
    assert borrowed_ms[0] < 60
    assert max(borrowed_ms[1:]) < 25


# Failure: all holders are short at once, and each takes more slots than its part, so
# that statements wait in the database, where no priority orders them.
def test_little_is_borrowed_of_a_database_that_is_full():
    phases = [(4000, [25] * HOLDERS), (9000, [60] * HOLDERS)]
    _, equal_count = play(phases, borrows=False)
    _, borrowed_count = play(phases)
    assert borrowed_count < equal_count + 2


def test_borrowed_slots_are_given_back_when_they_are_not_needed():
    share = DemandShare(PART, SLOTS)
    for number in range(200):
        share.record_answer(Lane.SHORT, ms(WORK_MS), True, ms(number))
    assert share.limit == SLOTS
    share.record_answer(Lane.SHORT, ms(WORK_MS), False, ms(200) + UNUSED_TIME)
    assert share.limit == PART


def test_borrowed_slots_are_given_back_one_by_one_when_answers_take_longer():
    share = DemandShare(PART, SLOTS)
    for number in range(200):
        share.record_answer(Lane.SHORT, ms(WORK_MS), True, ms(number))
    limits = []
    for number in range(200, 260):
        share.record_answer(Lane.SHORT, ms(4 * WORK_MS), True, ms(number))
        limits.append(share.limit)
    assert limits == sorted(limits, reverse=True)
    assert share.limit == PART


# Failure: the database refuses statements because its queue is full.
def test_refusal_gives_all_borrowed_slots_back():
    share = DemandShare(PART, SLOTS)
    for number in range(200):
        share.record_answer(Lane.SHORT, ms(WORK_MS), True, ms(number))
    share.record_refusal()
    assert share.limit == PART


def test_nothing_is_borrowed_where_the_part_is_the_ceiling():
    share = DemandShare(PART, PART)
    for number in range(200):
        share.record_answer(Lane.SHORT, ms(WORK_MS), True, ms(number))
    assert share.limit == PART


@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.just("answer"),
                st.integers(0, 500),
                st.booleans(),
                st.integers(0, 2000),
            ),
            st.tuples(st.just("resize"), st.integers(1, 8), st.integers(0, 9)),
            st.tuples(st.just("refusal")),
        )
    )
)
def test_limit_lies_between_the_part_and_the_ceiling(steps):
    share, part, ceiling, now = DemandShare(2, 6), 2, 6, 0
    for step in steps:
        match step:
            case ("answer", service_ms, is_short, pause_ms):
                now += pause_ms
                share.record_answer(Lane.AGED, ms(service_ms), is_short, ms(now))
            case ("resize", part, ceiling):
                share.resize(part, ceiling)
            case _:
                share.record_refusal()
        assert part <= share.limit <= max(part, ceiling)
