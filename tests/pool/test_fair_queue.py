"""Shares of organisations, and the order that is promised to a newcomer."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.pool.fair_queue import FairQueue
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

from ..serving.test_leadership import ms

_WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
_PUSHES = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(["s", "t"])), max_size=30
)


def _request(number, organisation, session="s", weight=None):
    weight = _WEIGHTS[organisation] if weight is None else weight
    requester = Requester(session, organisation, weight)
    return SlotRequest(number, requester, Lane.SHORT, ms(1000))


def _fill(queue, pushes):
    for number, (organisation, session) in enumerate(pushes):
        queue.push(_request(number, organisation, session))


def _drain(queue, count):
    return [queue.pop().requester.organisation for _ in range(count)]


@pytest.mark.parametrize(
    ("weights", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, {"a": 30, "b": 30}),
        ({"a": 2.0, "b": 1.0}, {"a": 40, "b": 20}),
        ({"a": 3.0, "b": 0.0}, {"a": 59, "b": 1}),
    ],
)
def test_waiting_organisations_share_by_weight(weights, expected):
    queue = FairQueue()
    for number in range(100):
        for name, weight in weights.items():
            queue.push(_request(number, name, weight=weight))
    assert_that(Counter(_drain(queue, 60)), Equals(expected))


def test_organisation_that_begins_to_wait_is_next_but_saves_nothing_up():
    queue = FairQueue()
    _fill(queue, [("a", "s")] * 50)
    _drain(queue, 20)
    for number in range(4):
        queue.push(_request(number, "b", weight=1.0))
    assert_that(_drain(queue, 6), Equals(["b", "a", "b", "a", "b", "a"]))


# Guards against: an organisation that always has one request waiting is served as if it
# had just begun to wait each time.
def test_organisation_that_empties_its_queue_keeps_its_virtual_time():
    queue = FairQueue()
    _fill(queue, [("a", "s")] * 50)
    served = Counter()
    for number in range(30):
        if not queue.count_waiting("b"):
            queue.push(_request(number, "b", weight=1.0))
        served[queue.pop().requester.organisation] += 1
    assert_that(served["b"] <= 16, Is(True), served)


@given(_PUSHES, st.integers(0, 30), _PUSHES)
def test_requests_are_removed_in_the_order_that_is_shown(before, popped, after):
    queue = FairQueue()
    _fill(queue, before)
    for _ in range(min(popped, len(queue))):
        queue.pop()
    _fill(queue, after)
    shown = [id(r) for r in queue.in_order()]
    last = queue.last()
    assert_that(
        None if last is None else id(last), Equals(shown[-1] if shown else None)
    )
    assert_that([id(queue.pop()) for _ in range(len(queue))], Equals(shown))


@given(_PUSHES, st.integers(0, 30), _PUSHES, st.sampled_from("abc"))
def test_newcomer_finds_as_many_ahead_as_it_was_told(before, popped, after, name):
    queue = FairQueue()
    _fill(queue, before)
    for _ in range(min(popped, len(queue))):
        queue.pop()
    _fill(queue, after)
    newcomer = _request(99, name, "new")
    ahead_count = queue.count_ahead(newcomer.requester)
    queue.push(newcomer)
    order = [r.request_id for r in queue.in_order()]
    assert_that(order.index(99), Equals(ahead_count))


# Guards against: a request whose opening failed loses its place.
@given(_PUSHES, st.integers(0, 30), _PUSHES)
def test_request_that_is_put_back_is_the_next_again(before, popped, after):
    queue = FairQueue()
    _fill(queue, before)
    for _ in range(min(popped, len(queue))):
        queue.pop()
    _fill(queue, after)
    request = next(queue.candidates(), None)
    if request is None:
        return
    order = [id(r) for r in queue.in_order()]
    assert_that(queue.pop_of(request.requester.organisation), Is(request))
    queue.put_back(request)
    assert_that([id(r) for r in queue.in_order()], Equals(order))


@given(_PUSHES)
def test_candidates_are_the_next_requests_of_all_organisations_in_order(pushes):
    queue = FairQueue()
    _fill(queue, pushes)
    firsts = {}
    for request in queue.in_order():
        firsts.setdefault(request.requester.organisation, request.request_id)
    shown = [r.request_id for r in queue.candidates()]
    assert_that(shown, Equals(list(firsts.values())))


@given(_PUSHES, st.lists(st.integers(0, 30), max_size=10))
def test_removed_requests_leave_the_rest_in_order(pushes, removed):
    queue = FairQueue()
    _fill(queue, pushes)
    expected = {number for number in range(len(pushes))}
    for number in removed:
        assert_that(queue.remove(number) is not None, Equals(number in expected))
        expected.discard(number)
    assert_that(len(queue), Equals(len(expected)))
    served = {queue.pop().request_id for _ in range(len(queue))}
    assert_that(served, Equals(expected))


# Guards against: an organisation that waits is passed over while others are served.
@given(st.lists(st.sampled_from("abc"), min_size=40, max_size=80))
def test_no_organisation_waits_for_more_than_the_parts_of_the_others(arrivals):
    queue = FairQueue()
    passed_over = Counter()
    for number, name in enumerate(arrivals):
        queue.push(_request(number, name))
        if number % 2:
            continue
        served = queue.pop().requester.organisation
        passed_over[served] = 0
        for waiting in (n for n in _WEIGHTS if queue.count_waiting(n)):
            passed_over[waiting] += waiting != served
            others = sum(w for n, w in _WEIGHTS.items() if n != waiting)
            limit = others / _WEIGHTS[waiting] + len(_WEIGHTS)
            assert_that(passed_over[waiting] <= limit, Is(True), waiting)


# Guards against: requests of an organisation that floods are accepted, and refused late
# because others go ahead of them.
def test_estimate_counts_those_that_go_ahead_though_they_arrive_later():
    queue = FairQueue()
    _fill(queue, [("a", "s")] * 100)
    newcomer = Requester("s", "a")
    assert_that(queue.estimate_ahead(newcomer), Equals(100))
    for number in range(40):
        queue.push(_request(number, "b", weight=1.0))
        while queue.count_waiting("b"):
            queue.pop()
    assert_that(queue.count_ahead(newcomer), Equals(len(queue)))
    assert_that(queue.estimate_ahead(newcomer) > 1.5 * len(queue), Is(True))
    assert_that(queue.estimate_ahead(Requester("s", "b")) <= 2, Is(True))
