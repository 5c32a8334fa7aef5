"""What a failing proof says about the leader."""

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
    """Passes some time with each reading, so that pauses end."""

    def now(self):
        self.advance(ms(5))
        return super().now()


async def _nobody(wait):
    raise CodedError(ResultCode.PEER_UNREACHABLE, "no holder")


def _prover_after(lasting, code, ask_holder=_nobody):
    """Return the prover, and the reading, after so much time of failed attempts."""
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
                leader_verifier = LeaderVerifier(
                    service,
                    open_link,
                    settings,
                    clock,
                    tasks,
                    lambda: True,
                    ask_holder,
                )
                leader_verifier.request_sample(clock.now(), clock.now() + lasting)
        return leader_verifier, clock.now()

    return anyio.run(body)


def test_leader_that_cannot_be_reached_becomes_suspect():
    leader_verifier, now = _prover_after(ms(800), ResultCode.ENDPOINT_UNREACHABLE)
    assert_that(leader_verifier.failing_for(now), GreaterThan(SUSPECT_AFTER))


@pytest.mark.parametrize("code", [ResultCode.ENDPOINT_FULL, ResultCode.ENDPOINT_BUSY])
def test_leader_that_has_no_room_is_alive(code):
    """Restart of a whole fleet: connections of the dead fill the databases."""
    leader_verifier, now = _prover_after(ms(800), code)
    assert_that(leader_verifier.unverified_for(now), GreaterThan(SUSPECT_AFTER))
    assert_that(leader_verifier.failing_for(now), LessThan(SUSPECT_AFTER))


def test_leader_that_never_has_room_becomes_suspect():
    leader_verifier, now = _prover_after(
        OVERLOAD_TIMEOUT + ms(100), ResultCode.ENDPOINT_FULL
    )
    assert_that(
        leader_verifier.failing_for(now), Equals(leader_verifier.unverified_for(now))
    )


def test_holder_that_a_full_database_shuts_out_has_the_proof_of_another():
    """Restart of a whole fleet: some instances get all connections that are left."""
    asked = []

    async def ask_holder(wait):
        asked.append(wait)
        return "p", LogPosition(1, 7)

    leader_verifier, now = _prover_after(ms(400), ResultCode.ENDPOINT_FULL, ask_holder)
    assert_that(len(asked), Equals(1))
    assert_that(leader_verifier.unverified_for(now), Is(None))
    assert_that(leader_verifier.is_leader_full(), Is(True))


def test_leader_that_is_silent_is_not_asked_for_through_others():
    """Each instance judges for itself whether the leader fails."""
    leader_verifier, _ = _prover_after(ms(400), ResultCode.ENDPOINT_UNREACHABLE, None)
    assert_that(leader_verifier.is_leader_full(), Is(False))
