"""Operations are charged where their organisation is metered, while they wait."""

import random
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.home_holders import HomeHolders
from goldcrestpond.relay.meter_client import AT_LIMIT_SPAN, MeterClient
from goldcrestpond.serving.home_admission import HomeAdmission
from goldcrestpond.serving.home_role import HomeRole
from goldcrestpond.serving.home_table import HomeTable
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from .fake_meter import FakeMeter
from .test_organisation_pool import _Holder, refused

pytestmark = pytest.mark.anyio
WAIT = timedelta(seconds=1)


class _World:
    def __init__(self, clock, tasks):
        self.clock = clock
        self.meter, self.standby = _Holder("m"), _Holder("s")
        self.meters = HomeHolders(HomeRole.NONE, (self.meter,), self.standby)
        table = HomeTable("me")
        table.assign(
            {
                "acme": Organisation("acme", 1, 50.0, 50.0),
                "free": Organisation("free"),
            },
            {"s": ["me"]},
            (),
        )
        self.admission = HomeAdmission(table, clock)
        self.admission.meter = self.own = FakeMeter()
        self.client = MeterClient(
            lambda organisation: self.meters,
            self.admission,
            clock,
            random.Random(1),
            SupervisedTasks(tasks),
        )

    def start(self, organisation="acme", lost=()):
        deadline = self.clock.now() + WAIT
        return self.client.start("s", organisation, deadline, lost)


@pytest.fixture
async def world(clock):
    clock.advance(timedelta(days=40))
    async with anyio.create_task_group() as tasks:
        yield _World(clock, tasks)


async def test_other_instance_meters_and_the_charge_stands(world):
    await world.start().finish()
    assert_that(world.meter.requests, Equals([messages.Charge("s", "acme")]))
    assert_that(world.own.charged, Equals([]))


# Failure: the home's queue refuses what another instance has charged: the organisation
# pays for what did not run.
async def test_charge_of_another_instance_is_taken_back(world):
    charge = world.start()
    charge.take_back()
    with anyio.fail_after(1):
        while len(world.meter.requests) < 2:
            await anyio.sleep(0)
    assert_that(world.meter.requests[1:], Equals([messages.Refund()]))


async def test_refused_charge_is_not_taken_back(world):
    world.meter.charge = refused(ResultCode.RATE_EXCEEDED, 70)
    charge = world.start()
    with pytest.raises(CodedError) as caught:
        await charge.finish()
    assert_that(caught.value.retry_after_ms, Equals(70))
    charge.take_back()
    await anyio.wait_all_tasks_blocked()
    assert_that(world.meter.requests, Equals([messages.Charge("s", "acme")]))
    assert_that(world.standby.requests, Equals([]))


# Failure: an organisation sends many times its rate, and each request takes a
# connection for the time of a charge that is refused.
async def test_organisation_that_was_refused_is_at_its_limit_for_a_while(world, clock):
    assert_that(world.client.is_at_limit("acme"), Is(False))
    world.meter.charge = refused(ResultCode.RATE_EXCEEDED)
    with pytest.raises(CodedError):
        await world.start().wait()
    assert_that(world.client.is_at_limit("acme"), Is(True))
    clock.advance(AT_LIMIT_SPAN)
    assert_that(world.client.is_at_limit("acme"), Is(False))


# Failure: the meter is lost.
async def test_standby_charges_its_reserve_if_the_meter_is_lost(world):
    world.meter.lend = None  # no channel
    await world.start().finish()
    assert_that(world.standby.requests, Equals([messages.Charge("s", "acme")]))


# Failure: whoever sent the operation here has waited for the home already.
async def test_instance_that_did_not_answer_the_sender_is_asked_last(world):
    await world.start(lost=(world.meter,)).finish()
    assert_that(world.meter.requests, Equals([]))
    assert_that(len(world.standby.requests), Equals(1))


# Failure: no meter answers: bounded, and known as not run.
async def test_operation_fails_as_not_run_if_nobody_meters(world):
    world.meter.lend = world.standby.lend = None
    with pytest.raises(CodedError) as caught:
        await world.start().wait()
    assert_that(caught.value.code, Is(ResultCode.HOME_UNREACHABLE))


async def test_organisation_without_a_limit_is_charged_nowhere(world):
    await world.start("free").finish()
    assert_that(world.meter.requests, Equals([]))


async def test_own_meter_refuses_at_once(world):
    world.meters = HomeHolders(HomeRole.HOME, (), None)
    world.own.exceeded.add("acme")
    with pytest.raises(CodedError) as caught:
        world.start()
    assert_that(caught.value.code, Is(ResultCode.RATE_EXCEEDED))
    world.own.exceeded.clear()
    world.start().take_back()
    assert_that(world.own.refunded, Equals([("acme", False)]))
