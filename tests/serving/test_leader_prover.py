"""What a failing proof says about the leader."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.role import Role
from goldcrestpond.serving.leader_prover import OVERLOAD_PATIENCE, LeaderProver
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.serving.succession_keeper import SUSPECT_AFTER

from ..line_world import ListLog
from .test_leadership import database, ms


class _Clock(ManualClock):
    """Passes some time with each reading, so that pauses end."""

    def now(self):
        self.advance(ms(5))
        return super().now()


def _prover_after(lasting, code):
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
                prover = LeaderProver(
                    service, open_link, settings, clock, tasks, lambda: True, None
                )
                prover.request(clock.now(), clock.now() + lasting)
        return prover, clock.now()

    return anyio.run(body)


def test_leader_that_cannot_be_reached_becomes_suspect():
    prover, now = _prover_after(ms(800), ResultCode.ENDPOINT_UNREACHABLE)
    assert_that(prover.silent_for(now), GreaterThan(SUSPECT_AFTER))


@pytest.mark.parametrize("code", [ResultCode.ENDPOINT_FULL, ResultCode.ENDPOINT_BUSY])
def test_leader_that_has_no_room_is_alive(code):
    """Restart of a whole fleet: connections of the dead fill the databases."""
    prover, now = _prover_after(ms(800), code)
    assert_that(prover.unmet_for(now), GreaterThan(SUSPECT_AFTER))
    assert_that(prover.silent_for(now), LessThan(SUSPECT_AFTER))


def test_leader_that_never_has_room_becomes_suspect():
    prover, now = _prover_after(OVERLOAD_PATIENCE + ms(100), ResultCode.ENDPOINT_FULL)
    assert_that(prover.silent_for(now), Equals(prover.unmet_for(now)))
