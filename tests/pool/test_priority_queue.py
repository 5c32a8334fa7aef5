"""Order in which the requests of a lane are served."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.priority_queue import PriorityQueue
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

from ..serving.test_leadership import ms


def _request(number, priority, caller="c"):
    return SlotRequest(number, Requester(caller), Lane.SHORT, ms(1000), priority)


def _filled_queue():
    queue = PriorityQueue()
    for number, (priority, caller) in enumerate(
        [(2, "a"), (2, "a"), (1, "b"), (2, "c"), (1, "b")]
    ):
        queue.push(_request(number, priority, caller))
    return queue


def test_lower_priorities_go_first_and_equal_ones_are_fair_between_callers():
    queue = _filled_queue()
    expected = [2, 4, 0, 3, 1]
    assert_that([r.request_id for r in queue.in_order()], Equals(expected))
    assert_that([queue.pop().request_id for _ in range(5)], Equals(expected))
    assert_that(len(queue), Equals(0))
    with pytest.raises(KeyError):
        queue.pop()


def test_only_requests_that_would_be_served_earlier_are_counted_ahead():
    queue = _filled_queue()
    assert_that(queue.count_ahead(Requester("b"), 1), Equals(2))
    assert_that(queue.count_ahead(Requester("x"), 1), Equals(1))
    assert_that(queue.count_ahead(Requester("x"), 2), Equals(4))
    assert_that(queue.count_ahead(Requester("x"), 0), Equals(0))


def test_request_is_removed_from_any_place_in_the_queue():
    queue = _filled_queue()
    assert_that(queue.remove(3).request_id, Equals(3))
    assert_that(queue.remove(3), Is(None))
    assert_that(len(queue), Equals(4))
