"""Tests of what failed checks say about the leader."""

import random
from dataclasses import replace

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
from goldcrestpond.serving.reply import Reply
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


def _service(clock, listed):
    registry = Registry()
    registry.put(listed, clock.now())
    settings = ServingSettings("i", "z")
    service = Service("s", registry, settings, clock, random.Random(1), ListLog())
    service.databases["p"] = ServedDatabase(listed, None)
    return service


def _verifier_after(duration, code, ask_holder=_no_holder):
    """Return the verifier and the time, after attempts have failed for ``duration``."""
    clock = _Clock(ms(5000))
    service = _service(clock, database("p", Role.PRIMARY))

    async def open_link(served):
        raise CodedError(code, "p")

    return _run_verifier(service, clock, duration, open_link, ask_holder)


def _run_verifier(service, clock, duration, open_link, ask_holder):
    """Request a sample; return the verifier and the time once none is needed."""

    async def body():
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                verifier = LeaderVerifier(
                    service,
                    open_link,
                    ServingSettings("i", "z"),
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


class _LeadingLink:
    """A connection to a database that leads."""

    async def verify_leader(self):
        return Reply(position=LogPosition(1, 7))

    async def aclose(self):
        pass


# A switchover was given up until the leaving leader had ended, since an instance that
# had started meanwhile didn't know up to where commits were acknowledged.
def test_leader_that_leaves_at_the_start_is_verified_but_gets_no_work():
    clock = _Clock(ms(5000))
    service = _service(clock, replace(database("p", Role.PRIMARY), is_draining=True))

    async def open_link(served):
        return _LeadingLink()

    verifier, now = _run_verifier(service, clock, ms(800), open_link, _no_holder)
    assert_that(service.leader(), Is(None))
    assert_that(service.commit_tracker.acknowledged, Equals(LogPosition(1, 7)))
    assert_that(verifier.failing_for(now), Is(None))
    # A statement leaves half of its time to its caller, who tries again.
    limit = verifier.leader_wait_deadline(now + ms(1000)) - now
    assert_that(limit, LessThan(ms(600)))
    assert_that(service.likely_leader(), Is(None))
