"""Which share counts, by what the table gave and when that was learned."""

from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.rates.share_history import VIEW_LIMIT_COUNT, ShareHistory


def _s(seconds):
    return timedelta(seconds=seconds)


def _share_at(history, seconds):
    return history.share_between(_s(seconds), _s(seconds))


def test_a_higher_share_counts_from_when_it_was_learned():
    history = ShareHistory()
    history.record(1, _s(8), _s(10), (1, 5))
    assert_that(_share_at(history, 10), Equals(0))
    assert_that(_share_at(history, 10.1), Equals(1))
    assert_that(history.is_settled, Is(True))


def test_a_lost_share_counts_until_the_former_state_was_last_current():
    history = ShareHistory()
    history.record(1, _s(0), _s(1), (1, 1))
    history.record(0.25, _s(8), _s(10), (1, 5))
    assert_that(_share_at(history, 8), Equals(1))
    assert_that(_share_at(history, 8.1), Equals(0.25))


# The table gave the share away and back, and nothing is known of between.
def test_between_two_states_the_lower_share_counts():
    history = ShareHistory()
    history.record(1, _s(0), _s(1), (1, 1))
    history.record(0, _s(8), _s(10), (1, 5))
    history.record(1, _s(11), _s(12), (1, 6))
    shares = [_share_at(history, seconds) for seconds in (8, 9, 11, 12, 12.1)]
    assert_that(shares, Equals([1, 0, 0, 0, 1]))


def test_the_lowest_share_between_two_times_counts():
    history = ShareHistory()
    history.record(1, _s(0), _s(1), (1, 1))
    history.record(0.5, _s(8), _s(10), (1, 5))
    assert_that(history.share_between(_s(5), _s(9)), Equals(0.5))


def test_a_restart_begins_the_share_anew():
    history = ShareHistory()
    history.record(1, _s(0), _s(1), (1, 1))
    history.restart(_s(20))
    assert_that(history.gained_version, Is(None))
    assert_that(_share_at(history, 20), Equals(0))
    assert_that(_share_at(history, 20.1), Equals(1))


def test_a_part_of_a_share_begins_at_once_and_the_rest_later():
    history = ShareHistory()
    history.record(1, _s(8), _s(10), (1, 5))
    history.begin(0.5)
    assert_that(_share_at(history, 9), Equals(0.5))
    assert_that(_share_at(history, 10.1), Equals(1))


# A table that changes without end must not fill the memory.
def test_many_changes_are_merged_to_the_lower_share():
    history = ShareHistory()
    for count in range(10 * VIEW_LIMIT_COUNT):
        history.record(count % 2, _s(count), _s(count), (1, count))
    assert_that(len(history._views), Equals(VIEW_LIMIT_COUNT))
    assert_that(_share_at(history, 0), Equals(0))
