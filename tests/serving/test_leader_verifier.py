"""Tests of what failed checks say about the leader."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.serving.leader_monitor import SUSPECT_AFTER
from goldcrestpond.serving.leader_verifier import OVERLOAD_TIMEOUT, LeaderVerifier
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import database, ms


class _Clock(ManualClock):
    """Advances each time it is read, so that pauses end."""

    def now(self):
        self.advance(ms(5))
        return super().now()


async def _no_holder(wait):
    raise CodedError(ResultCode.PEER_UNREACHABLE, "no holder")


def _verifier_after(duration, code, ask_holder=_no_holder):
    """Return the verifier and the time, after attempts have failed for ``duration``."""
    clock = _Clock(ms(5000))
    settings = ServingSettings("i", "z")
    registry = Registry()
    registry.put(database("p", Role.PRIMARY), clock.now())
    service = Service("s", registry, settings, clock, random.Random(1), ListLog())
    service.databases["p"] = ServedDatabase(database("p", Role.PRIMARY), None)

    async def open_link(served):
        raise CodedError(code, "p")

    async def body():
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                verifier = LeaderVerifier(
                    service,
                    open_link,
                    settings,
                    clock,
                    tasks,
                    lambda: True,
                    ask_holder,
                )
                verifier.request_sample(clock.now(), clock.now() + duration)
        return verifier, clock.now()

    return anyio.run(body)


def test_unreachable_leader_counts_as_failing():
    verifier, now = _verifier_after(ms(800), ResultCode.ENDPOINT_UNREACHABLE)
    assert_that(verifier.failing_for(now), GreaterThan(SUSPECT_AFTER))


@pytest.mark.parametrize("code", [ResultCode.ENDPOINT_FULL, ResultCode.ENDPOINT_BUSY])
def test_overloaded_leader_does_not_count_as_failing(code):
    """Restart of a whole fleet: connections of stopped instances fill the databases."""
    verifier, now = _verifier_after(ms(800), code)
    assert_that(verifier.unverified_for(now), GreaterThan(SUSPECT_AFTER))
    assert_that(verifier.failing_for(now), LessThan(SUSPECT_AFTER))


def test_leader_that_stays_overloaded_counts_as_failing():
    verifier, now = _verifier_after(
        OVERLOAD_TIMEOUT + ms(100), ResultCode.ENDPOINT_FULL
    )
    assert_that(verifier.failing_for(now), Equals(verifier.unverified_for(now)))


def test_holder_refused_by_a_full_leader_verifies_it_through_another_holder():
    """Restart of a whole fleet: some instances get all remaining connections."""
    asked = []

    async def ask_holder(wait):
        asked.append(wait)
        return "p", LogPosition(1, 7)

    verifier, now = _verifier_after(ms(400), ResultCode.ENDPOINT_FULL, ask_holder)
    assert_that(len(asked), Equals(1))
    assert_that(verifier.unverified_for(now), Is(None))
    assert_that(verifier.is_leader_full(), Is(True))


def test_unreachable_leader_is_not_verified_through_another_holder():
    """Each instance finds out by its own connection whether the leader fails."""
    verifier, _ = _verifier_after(ms(400), ResultCode.ENDPOINT_UNREACHABLE, None)
    assert_that(verifier.is_leader_full(), Is(False))
