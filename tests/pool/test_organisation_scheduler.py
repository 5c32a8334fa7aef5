"""Connections of organisations: who gets which, and what is closed for whom."""

from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, IsInstance

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.check_connection import CheckConnection
from goldcrestpond.pool.close_connection import CloseConnection
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

from ..serving.test_leadership import ms

_SETTINGS = PoolSettings(slot_limit=3, connection_limit=4, probe_reserve=0)


def _request(number, organisation, deadline_ms=10_000, priority=0):
    requester = Requester("session", organisation)
    return SlotRequest(number, requester, Lane.SHORT, ms(deadline_ms), priority)


def _use(pool, number, organisation, at_ms):
    """Serve one request; return the id of its connection."""
    actions = pool.request(_request(number, organisation), ms(at_ms))
    while not isinstance(actions[0], GrantConnection):
        connection_id = actions[0].connection_id
        report = {
            OpenConnection: lambda c: pool.record_opened(c, ms(at_ms)),
            CloseConnection: lambda c: pool.record_closed(c, ms(at_ms)),
            CheckConnection: lambda c: pool.record_check_result(c, True, ms(at_ms)),
        }
        actions = report[type(actions[0])](connection_id)
    pool.release(actions[0].connection_id, True, ms(at_ms))
    return actions[0].connection_id


@pytest.fixture
def pool():
    return DatabasePool(_SETTINGS)


def test_connection_is_opened_for_its_organisation_and_serves_only_that(pool):
    first = _use(pool, 1, "a", 0)
    opened = pool.request(_request(2, "b"), ms(1))
    assert_that(opened, Equals([OpenConnection(2, 0, "b")]))
    assert_that(_use(pool, 3, "a", 2), Equals(first))
    counts = pool.counts
    assert_that((counts.hits, counts.misses), Equals((1, 1)))


# Guards against: a request waits behind one whose connection is being opened though it
# has a connection and a slot.
def test_opening_does_not_hold_up_requests_that_have_a_connection(pool):
    connection = _use(pool, 1, "a", 0)
    pool.request(_request(2, "b"), ms(1))
    grant = pool.request(_request(3, "a"), ms(1))
    assert_that(grant, Equals([GrantConnection(3, connection)]))


# Guards against: requests that have a connection take each free slot, and the one that
# waits for its opening is never served.
def test_opening_keeps_the_slot_of_its_request(pool):
    for number in (1, 2, 3):
        pool.request(_request(number, "a"), ms(0))
    pool.request(_request(4, "b"), ms(0))
    for connection_id in (1, 2, 3):
        pool.record_opened(connection_id, ms(12))
    assert_that(pool.release(1, True, ms(20)), Equals([OpenConnection(4, 0, "b")]))
    assert_that(pool.request(_request(5, "a"), ms(21)), Equals([]))
    grants = pool.record_opened(4, ms(32))
    assert_that(grants, Equals([GrantConnection(4, 4)]))


# Guards against: each request of an organisation whose earlier one was served otherwise
# opens one more connection.
def test_opening_that_is_no_longer_needed_serves_the_next_request(pool):
    pool.request(_request(1, "a"), ms(0))
    pool.cancel_request(1, ms(1))
    assert_that(pool.request(_request(2, "a"), ms(2)), Equals([]))
    assert_that(pool.record_opened(1, ms(12)), Equals([GrantConnection(2, 1)]))
    pool.request(_request(3, "a"), ms(13))
    pool.request(_request(4, "a"), ms(13))
    assert_that(pool.open_count, Equals(3))


def test_connection_released_during_the_opening_is_granted_first(pool):
    pool.request(_request(1, "a"), ms(0))
    pool.record_opened(1, ms(12))
    pool.request(_request(2, "a"), ms(13))
    assert_that(pool.release(1, True, ms(15)), Equals([GrantConnection(2, 1)]))
    assert_that(pool.record_opened(2, ms(25)), Equals([]))
    assert_that(pool.request(_request(3, "a"), ms(26)), Equals([GrantConnection(3, 2)]))


def test_least_useful_idle_connection_is_closed_for_another_organisation(pool):
    for number in range(6):
        _use(pool, number, "often", number)
    for number, name in enumerate(("once", "later", "last")):
        _use(pool, 10 + number, name, 10 + number)
    actions = pool.request(_request(20, "new"), ms(20))
    assert_that(actions, HasLength(1))
    assert_that(actions[0], IsInstance(CloseConnection))
    assert_that(actions[0].connection_id, Equals(2))
    assert_that(pool.counts.closed_for_room, Equals(1))
    # A second request of the same organisation closes no other one.
    assert_that(pool.request(_request(21, "new"), ms(20)), Equals([]))
    opened = pool.record_closed(2, ms(21))
    assert_that(opened, Equals([OpenConnection(5, 0, "new")]))


# Guards against: a connection of a transaction is closed for another organisation.
def test_connections_in_transactions_are_never_closed_for_room():
    pool = DatabasePool(PoolSettings(slot_limit=8, connection_limit=2, probe_reserve=0))
    pool.request(_request(1, "a"), ms(0))
    pool.request(_request(2, "b"), ms(0))
    for connection_id in (1, 2):
        pool.record_opened(connection_id, ms(12))
        pool.suspend(connection_id, ms(13))
    assert_that(pool.request(_request(3, "c"), ms(14)), Equals([]))
    closed = pool.release(1, True, ms(15))
    assert_that([action.connection_id for action in closed], Equals([1]))
    assert_that(closed[0], IsInstance(CloseConnection))


def test_organisation_with_connections_leaves_one_for_another():
    pool = DatabasePool(PoolSettings(slot_limit=9, connection_limit=4, probe_reserve=0))
    for number in range(5):
        pool.request(_request(number, "large"), ms(0))
    assert_that(pool.open_count, Equals(3))
    opened = pool.request(_request(9, "small"), ms(1))
    assert_that(opened, Equals([OpenConnection(4, 0, "small")]))


# Guards against: a connection is opened for a request that has no time left to use it.
def test_request_that_an_opening_would_make_late_is_refused_at_once(pool):
    actions = pool.request(_request(1, "a", deadline_ms=10), ms(0))
    assert_that(actions, Equals([RefuseRequest(1, ResultCode.OVERLOADED, 12)]))
    _use(pool, 2, "a", 1)
    grant = pool.request(_request(3, "a", deadline_ms=10), ms(2))
    assert_that(grant, Equals([GrantConnection(3, 1)]))


# Guards against: slow openings once measured have every request refused, and no
# opening shows that they are fast again.
def test_slow_openings_do_not_lock_organisations_out(pool):
    for number in range(20):
        pool.request(_request(number, f"o{number}"), ms(5000 * number))
        for connection_id in range(1, 60):
            pool.record_opened(connection_id, ms(5000 * number + 3000))
            pool.release(connection_id, False, ms(5000 * number + 3000))
            pool.record_closed(connection_id, ms(5000 * number + 3000))
    actions = pool.request(_request(99, "new", deadline_ms=200_100), ms(200_000))
    assert_that(actions[0], IsInstance(OpenConnection))


# Guards against: a request is lost, or loses its place, when its opening fails because
# the database is full.
def test_request_waits_first_in_line_after_the_database_was_full(pool):
    _use(pool, 1, "a", 0)
    pool.request(_request(2, "b"), ms(1))
    assert_that(pool.record_open_failure(2, True, ms(2)), Equals([]))
    assert_that(pool.waiting_count, Equals(1))
    later = ms(2) + _SETTINGS.open_backoff
    # The limit is now the one connection that is open.
    actions = pool.tick(later)
    assert_that(actions, HasLength(1))
    assert_that(actions[0], IsInstance(CloseConnection))
    opened = pool.record_closed(1, later)
    assert_that(opened, Equals([OpenConnection(3, 0, "b")]))


def test_failed_opening_refuses_only_its_organisation(pool):
    _use(pool, 1, "a", 0)
    pool.request(_request(2, "b"), ms(1))
    pool.request(_request(3, "a"), ms(1))
    refusals = pool.record_open_failure(2, False, ms(2))
    assert_that([r.request_id for r in refusals], Equals([2]))
    assert_that(refusals[0].code, Is(ResultCode.ENDPOINT_UNREACHABLE))
    assert_that(pool.running_count, Equals(1))


def test_request_goes_on_to_an_opening_after_its_check_has_failed(pool):
    connection = _use(pool, 1, "a", 0)
    checked = pool.request(_request(2, "a"), ms(1000))
    assert_that(checked, Equals([CheckConnection(connection)]))
    actions = pool.record_check_result(connection, False, ms(1001))
    assert_that(actions[-1], Equals(OpenConnection(2, 0, "a")))
    assert_that(pool.record_opened(2, ms(1013)), Equals([GrantConnection(2, 2)]))


# Guards against: the slot of an opening stays occupied after its caller has cancelled.
def test_cancelled_request_frees_the_slot_of_its_opening_at_its_end(pool):
    pool.request(_request(1, "a"), ms(0))
    assert_that(pool.cancel_request(1, ms(1)), Equals([]))
    assert_that(pool.waiting_count, Equals(0))
    assert_that(pool.record_opened(1, ms(12)), Equals([]))
    for number in (2, 3, 4):
        pool.request(_request(number, "a"), ms(13))
    assert_that(pool.running_count + pool.waiting_count, Equals(3))
    assert_that(pool.open_count, Equals(3))


def test_request_whose_deadline_passes_during_the_opening_is_refused(pool):
    pool.request(_request(1, "a", deadline_ms=100), ms(0))
    refusals = pool.tick(ms(100))
    assert_that(
        [(r.request_id, r.code) for r in refusals],
        Equals([(1, ResultCode.QUEUE_DEADLINE)]),
    )
    assert_that(pool.record_opened(1, ms(200)), Equals([]))


# Guards against: a request whose connection was being opened is left waiting in a pool
# that no longer serves.
def test_draining_refuses_requests_that_wait_for_an_opening(pool):
    pool.request(_request(1, "a"), ms(0))
    actions = pool.start_draining(ms(1))
    kinds = [type(action) for action in actions]
    assert_that(kinds, Equals([RefuseRequest, CloseConnection]))
    assert_that(pool.waiting_count, Equals(0))


def test_new_term_opens_anew_for_requests_that_wait_for_an_opening(pool):
    pool.request(_request(1, "a"), ms(0))
    actions = pool.set_term(1, ms(1))
    expected = [CloseConnection(1, "term superseded"), OpenConnection(2, 1, "a")]
    assert_that(actions, Equals(expected))


def test_only_connection_of_an_organisation_is_kept_longer(pool):
    _use(pool, 1, "a", 0)
    idle_timeout = _SETTINGS.idle_timeout
    assert_that(pool.tick(idle_timeout), Equals([]))
    assert_that(pool.tick(12 * idle_timeout), Equals([CloseConnection(1, "idle")]))


# Guards against: a connection that was kept idle and has silently been lost is granted,
# since reports of no progress are taken for signs of life.
def test_connection_that_was_kept_longer_is_checked_before_use(pool):
    connection = _use(pool, 1, "a", 0)
    later = _SETTINGS.idle_timeout + ms(1)
    pool.record_progress(connection, later)
    checked = pool.request(_request(2, "a", 100_000), later)
    assert_that(checked, Equals([CheckConnection(connection)]))


def test_small_organisation_is_not_refused_because_another_floods(pool):
    refused = []
    for number in range(3):
        pool.request(_request(number, "flood"), ms(0))
        pool.record_opened(number + 1, ms(0))
    for number in range(3, 400):
        refused += pool.request(_request(number, "flood", deadline_ms=200), ms(0))
    assert_that(any(isinstance(a, RefuseRequest) for a in refused), Is(True))
    actions = pool.request(_request(999, "small", deadline_ms=200), ms(0))
    refusals = [a for a in actions if isinstance(a, RefuseRequest)]
    assert_that([r.request_id for r in refusals if r.request_id == 999], Equals([]))
    # It goes ahead of those that wait, so the last of these is told at once.
    assert_that(refusals, HasLength(1))


def test_deployment_without_organisations_keeps_idle_times_and_shares_connections():
    pool = DatabasePool(_SETTINGS)
    connection = _use(pool, 1, "", 0)
    assert_that(_use(pool, 2, "", 1), Equals(connection))
    closed = pool.tick(ms(1) + _SETTINGS.idle_timeout)
    assert_that(closed, Equals([CloseConnection(connection, "idle")]))
    assert_that(_SETTINGS.idle_timeout > timedelta(0), Is(True))
