"""Checking a link out of a pool that refuses."""

from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.link_checkout import check_out_link, return_link
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.stage_times import StageTimes

from .test_leadership import ms
from .test_load_patterns import count_reads_by_database, make_service

_ROUTE = Route("d", "s", ReadPolicy.BOUNDED, ms(1500), ms(1000), ms(200), 1)


def _refuse(served, code, clock):
    async def acquire(term, deadline, key, lane, priority):
        raise CodedError(code, "", 300)

    served.pool.acquire = acquire

    async def body():
        with pytest.raises(CodedError):
            arrived_at = clock.now()
            await check_out_link(
                served,
                SessionState(),
                "c",
                _ROUTE,
                arrived_at,
                arrived_at + ms(9),
                clock,
                StageTimes(clock),
            )

    anyio.run(body)


# Failure: this instance has not read yet that a database leaves; its requests must not
# be refused there until it has.
def test_reads_avoid_a_database_that_its_holders_have_dropped(clock):
    service = make_service(clock)
    for _ in range(2):
        _refuse(service.databases["r1"], ResultCode.ENDPOINT_LEAVING, clock)
    assert_that(count_reads_by_database(service, LogPosition(1, 5))["r1"], Equals(0))


# Failure: one organisation has lost its homes; the databases that it asked for are
# well, and are the same ones that all other callers use.
def test_reads_avoid_no_database_because_an_organisation_has_lost_its_homes(clock):
    served = make_service(clock).databases["r1"]
    for _ in range(4):
        _refuse(served, ResultCode.HOME_UNREACHABLE, clock)
    assert_that(served.health.is_avoided(clock.now()), Equals(False))
    for _ in range(4):
        _refuse(served, ResultCode.ENDPOINT_UNREACHABLE, clock)
    assert_that(served.health.is_avoided(clock.now()), Equals(True))


# Guards against: after a restart the queue of one database is full at its holders, and
# instances without connections of their own keep sending reads there.
@pytest.mark.parametrize("code", [ResultCode.OVERLOADED, ResultCode.QUEUE_DEADLINE])
def test_reads_avoid_a_database_while_its_holders_refuse_work(clock, code):
    service = make_service(clock)
    clock.advance(ms(50))
    for _ in range(4):
        _refuse(service.databases["r1"], code, clock)
    assert_that(count_reads_by_database(service, LogPosition(1, 5))["r1"], Equals(0))
    clock.advance(ms(10_000))
    assert_that(
        count_reads_by_database(service, LogPosition(1, 5))["r1"] > 50, Equals(True)
    )


# Guards against: a caller that leaves during a rollback takes a connection of the pool
# and its slot along.
@pytest.mark.anyio
async def test_link_is_returned_if_its_rollback_is_cancelled():
    released = []
    pool = SimpleNamespace(release=released.append)
    link = SimpleNamespace(is_broken=False, rollback=anyio.sleep_forever)
    with anyio.move_on_after(0.01) as scope:
        await return_link(pool, link, True)
    assert_that(scope.cancelled_caught, Equals(True))
    assert_that(released, Equals([link]))
    assert_that(link.is_broken, Equals(True))
