"""The pool in random orders of events, and faulty variants that must be detected."""

from datetime import timedelta

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.check_connection import CheckConnection
from goldcrestpond.pool.connection_table import ConnectionTable
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.fair_queue import FairQueue
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.lane_queues import LaneQueues
from goldcrestpond.pool.lane_slots import LaneSlots
from goldcrestpond.pool.opening_room import OpeningRoom
from goldcrestpond.pool.organisation_scheduler import OrganisationScheduler
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

from .pool_machine import SETTINGS, OrganisationPoolMachine, PoolMachine

_MACHINE_SETTINGS = settings(max_examples=200, stateful_step_count=40)
_SEARCH_SETTINGS = settings(
    max_examples=6000,
    stateful_step_count=40,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)


@pytest.mark.parametrize("machine", [PoolMachine, OrganisationPoolMachine])
def test_pool_keeps_its_invariants_in_random_orders_of_events(machine):
    run_state_machine_as_test(machine, settings=_MACHINE_SETTINGS)


def _reports_occupy_all_slots(monkeypatch):
    def admits(slots, lane):
        return sum(slots.running(each) for each in Lane) < slots.total

    monkeypatch.setattr(LaneSlots, "admits", admits)


def _closing_connections_are_not_counted(monkeypatch):
    count = property(lambda pool: pool._connections.remaining_count())
    monkeypatch.setattr(DatabasePool, "open_count", count)


def _probe_answers_are_ignored(monkeypatch):
    record_probe_answer = DatabasePool.record_probe_answer

    def condemn(pool, connection_id, running, now):
        return record_probe_answer(pool, connection_id, False, now)

    monkeypatch.setattr(DatabasePool, "record_probe_answer", condemn)


def _connections_of_earlier_terms_stay_open(monkeypatch):
    def set_term(pool, term, now):
        pool._term = term
        return pool._schedule(now)

    monkeypatch.setattr(DatabasePool, "set_term", set_term)


def _closing_connections_are_reused(monkeypatch):
    def release(pool, connection_id, reusable, now):
        connection = pool._connections.get(connection_id)
        if connection is None:
            return []
        if connection.state.value == "busy":
            pool._finish_statement(connection, now)
        pool._make_idle(connection, now)
        return pool._schedule(now)

    monkeypatch.setattr(DatabasePool, "release", release)


def _late_requests_are_not_refused(monkeypatch):
    monkeypatch.setattr(LaneQueues, "refuse_late", lambda queues, now: [])


def _granted_requests_are_also_refused(monkeypatch):
    grant = DatabasePool._grant_connections

    def grant_and_refuse(pool, now):
        actions = grant(pool, now)
        refusals = [
            RefuseRequest(action.request_id, ResultCode.QUEUE_DEADLINE, 1)
            for action in actions
            if hasattr(action, "request_id")
        ]
        return actions + refusals

    monkeypatch.setattr(DatabasePool, "_grant_connections", grant_and_refuse)


def _held_connections_are_granted(monkeypatch):
    def most_recent(table, organisation=""):
        present = [c for c in table if c.state.value in ("idle", "held")]
        return max(present, key=lambda c: c.last_active_at, default=None)

    monkeypatch.setattr(ConnectionTable, "most_recently_active_idle", most_recent)


@pytest.mark.parametrize(
    "break_pool",
    [
        _reports_occupy_all_slots,
        _closing_connections_are_not_counted,
        _probe_answers_are_ignored,
        _connections_of_earlier_terms_stay_open,
        _closing_connections_are_reused,
        _late_requests_are_not_refused,
        _granted_requests_are_also_refused,
        _held_connections_are_granted,
    ],
    ids=lambda variant: variant.__name__.strip("_"),
)
def test_faulty_pool_is_detected(monkeypatch, break_pool):
    break_pool(monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(PoolMachine, settings=_SEARCH_SETTINGS)


def _granted_requests_wait_on(monkeypatch):
    monkeypatch.setattr(FairQueue, "pop_of", lambda queue, _: next(queue.candidates()))


def _connections_serve_any_organisation(monkeypatch):
    def any_idle(table, organisation):
        return next(iter(table.idle()), None)

    monkeypatch.setattr(ConnectionTable, "last_used_idle", any_idle)


def _openings_occupy_no_slot(monkeypatch):
    def bind(scheduler, connection, request):
        connection.request = request
        connection.lane = request.lane
        scheduler._slots.finish(request.lane)
        scheduler._pending[connection.connection_id] = connection

    monkeypatch.setattr(OrganisationScheduler, "_bind", bind)


def _connections_in_use_are_closed_for_room(monkeypatch):
    monkeypatch.setattr(ConnectionTable, "idle", ConnectionTable.__iter__)


def _more_connections_are_closed_than_needed(monkeypatch):
    monkeypatch.setattr(OpeningRoom, "take_closing", lambda room: False)


def _pending_requests_are_not_refused(monkeypatch):
    monkeypatch.setattr(OrganisationScheduler, "refuse_late", lambda *_: [])


def _requests_of_failed_openings_are_lost(monkeypatch):
    def abandon(scheduler, connection):
        scheduler._unbind(connection)

    monkeypatch.setattr(OrganisationScheduler, "abandon", abandon)


def _requests_wait_for_their_own_opening(monkeypatch):
    monkeypatch.setattr(OrganisationScheduler, "_grant_to_pending", lambda *_: [])


def _limit_does_not_bind_openings(monkeypatch):
    monkeypatch.setattr(OpeningRoom, "take", lambda room: True)


@pytest.mark.parametrize(
    "break_pool",
    [
        _closing_connections_are_reused,
        _granted_requests_wait_on,
        _connections_serve_any_organisation,
        _openings_occupy_no_slot,
        _connections_in_use_are_closed_for_room,
        _more_connections_are_closed_than_needed,
        _pending_requests_are_not_refused,
        _requests_of_failed_openings_are_lost,
        _requests_wait_for_their_own_opening,
        _limit_does_not_bind_openings,
    ],
    ids=lambda variant: variant.__name__.strip("_"),
)
def test_faulty_pool_of_organisations_is_detected(monkeypatch, break_pool):
    break_pool(monkeypatch)
    with pytest.raises((AssertionError, KeyError)):
        run_state_machine_as_test(OrganisationPoolMachine, settings=_SEARCH_SETTINGS)


def _ms(count):
    return timedelta(milliseconds=count)


def _request(number, caller="a", lane=Lane.SHORT, deadline_ms=10_000):
    return SlotRequest(number, Requester(caller), lane, _ms(deadline_ms))


def test_caller_with_one_request_does_not_wait_behind_one_with_many():
    queues = LaneQueues(LaneSlots(2, 1))
    for number in range(50):
        queues.submit(_request(number, "heavy"), _ms(0))
    queues.submit(_request(99, "light"), _ms(0))
    order = [queues.next_request().request_id for _ in range(2)]
    assert_that(order, Equals([0, 99]))


def test_request_that_cannot_start_in_time_is_refused_at_once():
    queues = LaneQueues(LaneSlots(2, 1))
    outcomes = [queues.submit(_request(n, deadline_ms=20), _ms(0)) for n in range(50)]
    refusals = [outcome for outcome in outcomes if outcome is not None]
    assert_that(refusals[0].code, Equals(ResultCode.OVERLOADED))
    # Two slots and 5 ms per request: starts are expected after 0, 0, 2.5, 5, ...,
    # 15 ms. The next request would start after 17.5 ms and end after its deadline of
    # 20 ms.
    assert_that(refusals[0].retry_after_ms, Equals(18))
    assert_that(len(queues), Equals(8))


def test_other_lanes_are_served_while_short_requests_keep_waiting():
    queues = LaneQueues(LaneSlots(2, 1))
    queues.submit(_request(0, lane=Lane.AGED), _ms(0))
    for number in range(1, 40):
        queues.submit(_request(number), _ms(0))
    started = []
    for _ in range(20):
        request = queues.next_request()
        started.append(request.lane)
        queues.finish(request.lane, _ms(5))
    assert_that(Lane.AGED in started, Equals(True))


def test_connection_that_was_idle_for_long_is_checked_before_use():
    pool = DatabasePool(SETTINGS)
    open_action = pool.request(_request(1), _ms(0))[0]
    pool.record_opened(open_action.connection_id, _ms(1))
    pool.release(open_action.connection_id, True, _ms(2))
    later = _ms(2) + SETTINGS.idle_check_after + _ms(1)
    actions = pool.request(_request(2), later)
    assert_that(actions[0], IsInstance(CheckConnection))


# Guards against: a slot that is freed twice, when the pool closes a busy connection and
# when the end of the close is reported, so that too many statements run.
def test_closing_a_connection_that_is_not_reusable_frees_one_slot():
    pool = DatabasePool(SETTINGS)
    for number in range(6):
        pool.request(_request(number), _ms(0))
    for connection_id in range(1, 5):
        pool.record_opened(connection_id, _ms(1))
    pool.release(1, False, _ms(2))
    pool.record_closed(1, _ms(3))
    grants = pool.record_opened(5, _ms(4))
    assert_that(len(grants), Equals(1))
    assert_that(pool.running_count, Equals(SETTINGS.slot_limit))


# Guards against: requests sent on idle connections that were lost together with a
# connection that has stalled.
def test_idle_connections_are_checked_after_a_busy_one_has_stalled():
    pool = DatabasePool(SETTINGS)
    pool.request(_request(1), _ms(0))
    pool.request(_request(2), _ms(0))
    pool.record_opened(1, _ms(1))
    pool.record_opened(2, _ms(1))
    pool.release(2, True, _ms(2))
    stalled_at = _ms(1) + SETTINGS.stall_threshold
    pool.tick(stalled_at)
    assert_that(pool.request(_request(3), stalled_at)[0], IsInstance(CheckConnection))
    grant = pool.record_check_result(2, True, stalled_at + _ms(1))[0]
    assert_that(grant.request_id, Equals(3))


# Guards against: requests that get a slot just before their deadline and are answered
# after it.
def test_request_starts_early_enough_to_be_answered_by_its_deadline():
    queues = LaneQueues(LaneSlots(2, 1))
    for _ in range(60):
        queues.finish(Lane.SHORT, _ms(100))
        queues._slots.start(Lane.SHORT)
    # Two slots and 100 ms per request: starts are expected after 0, 0, 50, 100, ... ms.
    outcomes = [queues.submit(_request(n, deadline_ms=1000), _ms(0)) for n in range(30)]
    starts_ms = [50 * (n - 1) for n, refusal in enumerate(outcomes) if refusal is None]
    assert_that(max(starts_ms) <= 1000 - 2 * 95, Equals(True))
    assert_that(len(starts_ms) >= 14, Equals(True))
