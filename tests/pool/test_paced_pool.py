"""The pool of a database that is paced, in random orders of events and one by one."""

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule, run_state_machine_as_test
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.lane_slots import LaneSlots
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pace import FAILURES_BEFORE_PACE_COUNT, Pace
from goldcrestpond.pool.pace_reason import PaceReason
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

from .pool_machine import SETTINGS, PoolMachine


def _ms(count):
    return timedelta(milliseconds=count)


class _PacedPoolMachine(PoolMachine):
    """The machine of the pool, with paces that begin at any time."""

    def __init__(self):
        self.is_spared = True
        self.pace = Pace(applies=lambda: True, can_spare=lambda: self.is_spared)
        self.pool_type = lambda settings: DatabasePool(settings, pace=self.pace)
        super().__init__()

    def check_grant(self, request_id, connection_id):
        window = self.pace.window(self.now)
        assert window is None or len(self.running) < window
        super().check_grant(request_id, connection_id)

    @rule(delay_ms=st.integers(0, 300), reason=st.sampled_from(PaceReason))
    def begin_pace(self, delay_ms, reason):
        self.pace.begin(reason, self.now, _ms(delay_ms))

    @rule()
    def end_pace(self):
        self.pace.stop()

    @rule(is_spared=st.booleans())
    def change_peers(self, is_spared):
        self.is_spared = is_spared

    @rule()
    def refuse_a_statement(self):
        for connection_id in self.running:
            self.pool.record_refusal(connection_id)

    @invariant()
    def no_slot_is_free_while_a_request_could_run(self):
        if not self.pace.is_active and not self.waiting:
            super().no_slot_is_free_while_a_request_could_run()


def test_paced_pool_keeps_its_invariants_in_random_orders_of_events():
    run_state_machine_as_test(
        _PacedPoolMachine, settings=settings(max_examples=200, stateful_step_count=40)
    )


class _World:
    def __init__(self, can_spare=True, reason=PaceReason.LISTED):
        self.now = _ms(1000)
        self.pace = Pace(applies=lambda: True, can_spare=lambda: can_spare)
        self.pool = DatabasePool(SETTINGS, pace=self.pace)
        self.pace.begin(reason, self.now)
        self.number = 0

    def request(self, lane=Lane.SHORT, wait_ms=1000, organisation=""):
        self.number += 1
        requester = Requester("c", organisation)
        request = SlotRequest(self.number, requester, lane, self.now + _ms(wait_ms))
        return self.pool.request(request, self.now)

    def grant(self, lane=Lane.SHORT):
        """Request and open a connection; return its id."""
        (opened,) = self.request(lane)
        (granted,) = self.pool.record_opened(opened.connection_id, self.now)
        assert_that(granted, IsInstance(GrantConnection))
        return granted.connection_id


# Guards against: the requests of other instances queue at a holder for a database that
# starts, though another one is free.
def test_requests_beyond_the_window_are_refused_at_once_if_another_can_serve():
    world = _World()
    assert_that(world.pool.load(5, world.now).is_full, Is(False))
    (opened,) = world.request()
    assert_that(opened, IsInstance(OpenConnection))
    (refused,) = world.request()
    assert_that(refused, IsInstance(RefuseRequest))
    assert_that(refused.code, Is(ResultCode.ENDPOINT_BUSY))
    assert_that(world.pool.load(5, world.now).is_full, Is(True))


# Guards against: a read that could not start in time at a paced database spends a token
# of the retry budget to run elsewhere.
@pytest.mark.parametrize("organisation", ["", "a"])
def test_late_requests_beyond_the_window_are_refused_for_the_pace(organisation):
    world = _World()
    (late,) = world.request(wait_ms=-1, organisation=organisation)
    assert_that(late.code, Is(ResultCode.OVERLOADED))
    world.request(organisation=organisation)
    (refused,) = world.request(wait_ms=-1, organisation=organisation)
    assert_that(refused.code, Is(ResultCode.ENDPOINT_BUSY))
    assert_that(refused.retry_after_ms > 0, Is(True))


# Guards against: a leader that starts is opened all connections at once, or its writes
# are refused.
def test_requests_wait_for_the_window_of_a_database_that_alone_can_serve():
    world = _World(can_spare=False)
    actions = [action for _ in range(4) for action in world.request()]
    assert_that(actions, HasLength(2))
    assert_that({type(action) for action in actions}, Equals({OpenConnection}))
    assert_that(world.pool.waiting_count, Equals(4))
    assert_that(world.pool.load(5, world.now).is_full, Is(False))


# Guards against: reads of a stated age never run in a window of one.
def test_window_of_one_serves_every_lane():
    slots = LaneSlots(5, 1)
    slots.set_window(1)
    assert_that([slots.admits(lane) for lane in Lane], Equals([True] * 3))
    slots.start(Lane.AGED)
    assert_that([slots.admits(lane) for lane in Lane], Equals([False] * 3))
    slots.set_window(None)
    assert_that(slots.total, Equals(5))


# Guards against: a statement of an open transaction waits for the window while the
# transaction holds locks.
def test_open_transactions_go_on_beyond_the_window():
    world = _World()
    connection_id = world.grant()
    world.pool.suspend(connection_id, world.now)
    other_id = world.grant()
    world.pool.resume(connection_id, world.now)
    assert_that(world.pool.running_count, Equals(2))
    world.pool.release(other_id, True, world.now)
    world.pool.release(connection_id, True, world.now)


# Guards against: errors that come back fast look like good answers.
def test_refused_statements_count_as_failures():
    world = _World()
    world.pace.stop()
    connection_id = world.grant()
    for _ in range(FAILURES_BEFORE_PACE_COUNT):
        world.pool.record_refusal(connection_id)
        world.pool.release(connection_id, True, world.now)
        world.now += _ms(1)
        if not world.pace.is_active:
            (granted,) = world.request()
            connection_id = granted.connection_id
    assert_that(world.pace.is_active, Is(True))


def _lose_connections(world, after):
    """Let one connection after the other be lost a time after it was granted."""
    for _ in range(FAILURES_BEFORE_PACE_COUNT):
        connection_id = world.grant()
        world.now += after
        world.pool.release(connection_id, False, world.now)
        world.pool.record_closed(connection_id, world.now)


def test_lost_answers_begin_a_pace():
    world = _World()
    world.pace.stop()
    _lose_connections(world, _ms(200))
    assert_that(world.pace.is_active, Is(True))


# Guards against: a database that closes idle connections counts as failing.
def test_connections_that_were_closed_while_idle_begin_no_pace():
    world = _World()
    world.pace.stop()
    _lose_connections(world, timedelta(microseconds=50))
    assert_that(world.pace.is_active, Is(False))


# Guards against: a database whose connections fail to open is sent all of its work the
# moment one opens.
def test_connections_that_fail_to_open_begin_a_pace():
    world = _World()
    world.pace.stop()
    for _ in range(FAILURES_BEFORE_PACE_COUNT):
        (opened,) = world.request()
        world.pool.record_open_failure(opened.connection_id, False, world.now)
        world.now += SETTINGS.open_backoff
    assert_that(world.pace.is_active, Is(True))
