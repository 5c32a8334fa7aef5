"""Integer token buckets: exact yields, limits that change, refunds."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from goldcrestpond.rates.token_bucket import TokenBucket

# A machine that has run for years.
_START = timedelta(days=4000)
_MICROSECOND = timedelta(microseconds=1)


def _make(rate_per_s, capacity_count):
    bucket = TokenBucket(_START)
    bucket.set_limits(rate_per_s, capacity_count, _START)
    return bucket


def _take_all(bucket, now):
    count = 0
    while bucket.take(now):
        count += 1
    return count


def test_begins_empty_and_yields_each_token_when_it_is_whole():
    bucket = _make(8, 2)
    second = _START + timedelta(seconds=1)
    taken_at = [
        _START + step * timedelta(milliseconds=25)
        for step in range(41)
        if bucket.take(_START + step * timedelta(milliseconds=25))
    ]
    expected = [_START + step * timedelta(milliseconds=125) for step in range(1, 9)]
    assert_that(taken_at, Equals(expected))
    assert_that(bucket.take(second), Is(False))


@pytest.mark.parametrize("rate_per_s", [0.1, 1 / 3, 7.3, 9.999999, 1e6])
def test_no_token_comes_a_microsecond_early(rate_per_s):
    bucket = _make(rate_per_s, 1)
    wait = bucket.wait(_START)
    assert_that(bucket.take(_START + wait - _MICROSECOND), Is(False))
    assert_that(bucket.take(_START + wait), Is(True))


@pytest.mark.parametrize("rate_per_s", [0.1, 1 / 3, 7.3, 9.999999])
def test_long_runs_yield_the_whole_rate_and_no_more(rate_per_s):
    bucket = _make(rate_per_s, 20)
    seconds = range(1, 20_001)
    count = sum(_take_all(bucket, _START + timedelta(seconds=s)) for s in seconds)
    assert_that(count, Equals(int(rate_per_s * 20_000 - 1e-6)))


# Shares of a third would add up to more than the whole if they were rounded up.
@given(st.floats(0.01, 1000), st.integers(2, 7), st.integers(1, 10**9))
def test_shares_yield_no_more_than_the_whole(rate_per_s, count, span_us):
    whole = _make(rate_per_s, 10**6)
    parts = [_make(rate_per_s / count, 10**6) for _ in range(count)]
    now = _START + timedelta(microseconds=span_us)
    total = sum(part.empty(now) for part in parts)
    assert_that(total, LessThan(whole.empty(now) + 1))


@given(
    st.lists(
        st.tuples(st.integers(0, 10**6), st.integers(0, 4), st.booleans()), max_size=60
    )
)
def test_any_window_is_bounded_also_with_refunds(steps):
    rate_per_s, capacity = 5.3, 4
    bucket = _make(rate_per_s, capacity)
    now, held, taken_at = _START, [], []
    for span_us, count, is_refunded in steps:
        now += span_us * _MICROSECOND
        for _ in range(count):
            if is_refunded and held:
                charged_at = held.pop(0)
                bucket.refund(charged_at, now)
                taken_at.remove(charged_at)
            elif bucket.take(now):
                held.append(now)
                taken_at.append(now)
    for first, begin in enumerate(taken_at):
        for last, end in enumerate(taken_at[first:], first):
            most = rate_per_s * (end - begin).total_seconds() + capacity
            assert_that(last - first + 1, LessThan(most + 1e-6))


def test_a_refunded_token_can_be_taken_again():
    bucket = _make(1, 5)
    now = _START + timedelta(seconds=3)
    assert_that(_take_all(bucket, now), Equals(3))
    now += timedelta(milliseconds=600)
    bucket.refund(now - timedelta(milliseconds=600), now)
    assert_that(_take_all(bucket, now), Equals(1))


def test_a_refund_of_what_has_overflowed_since_adds_nothing():
    bucket = _make(10, 2)
    now = _START + timedelta(seconds=1)
    assert_that(bucket.take(now), Is(True))
    later = now + timedelta(seconds=1)
    assert_that(_take_all(bucket, later), Equals(2))
    bucket.refund(now, later)
    assert_that(bucket.take(later), Is(False))


def test_a_refund_after_a_long_time_adds_nothing():
    bucket = _make(1, 100)
    now = _START + timedelta(seconds=1)
    assert_that(bucket.take(now), Is(True))
    for _ in range(20):
        now += timedelta(milliseconds=900)
        bucket.take(now)
    count_before = bucket.wait(now)
    bucket.refund(_START + timedelta(seconds=1), now)
    assert_that(bucket.wait(now), Equals(count_before))


def test_a_lower_capacity_holds_at_once():
    bucket = _make(10, 50)
    now = _START + timedelta(seconds=10)
    bucket.set_limits(1, 2, now)
    assert_that(_take_all(bucket, now), Equals(2))


def test_a_higher_capacity_adds_no_tokens():
    bucket = _make(10, 2)
    now = _START + timedelta(seconds=10)
    bucket.set_limits(10, 50, now)
    assert_that(_take_all(bucket, now), Equals(2))


# The limits may have changed at any time since the last call.
def test_time_before_a_change_counts_at_the_lower_rate():
    for former, later in ((10, 1), (1, 10)):
        bucket = _make(former, 50)
        now = _START + timedelta(seconds=5)
        bucket.set_limits(later, 50, now)
        assert_that(_take_all(bucket, now), Equals(5))


def test_tokens_are_moved_without_gain():
    former, successor = _make(10, 8), _make(10, 4)
    now = _START + timedelta(milliseconds=550)
    millionths = former.empty(now)
    assert_that(millionths, Equals(5_500_000))
    assert_that(former.take(now), Is(False))
    successor.put(millionths, now)
    assert_that(_take_all(successor, now), Equals(4))


# A machine's clock may be read before a call that waited for another.
def test_a_time_that_goes_back_adds_nothing():
    bucket = _make(10, 5)
    now = _START + timedelta(seconds=1)
    assert_that(_take_all(bucket, now), Equals(5))
    assert_that(bucket.take(now - timedelta(seconds=1)), Is(False))
    assert_that(bucket.take(now + timedelta(milliseconds=99)), Is(False))


def test_there_is_no_wait_to_tell_without_room_for_an_operation():
    assert_that(_make(10, 0.9).wait(_START), Is(None))
    assert_that(_make(0, 5).wait(_START), Is(None))
