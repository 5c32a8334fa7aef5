"""Which holder lends a connection for an organisation, and who is charged."""

import itertools
import random
from datetime import timedelta

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.requester import Requester
from goldcrestpond.relay import messages
from goldcrestpond.relay.home_holders import HomeHolders
from goldcrestpond.relay.meter_client import MeterClient
from goldcrestpond.relay.order_homes import order_homes
from goldcrestpond.relay.organisation_pool import ELSEWHERE_PAUSE, OrganisationPool
from goldcrestpond.relay.relay_pool import RelayPool
from goldcrestpond.relay.remote_link import RemoteLink
from goldcrestpond.serving.endpoint_health import EndpointHealth
from goldcrestpond.serving.error_outcome import NOT_RUN, RETRYABLE
from goldcrestpond.serving.home_admission import HomeAdmission
from goldcrestpond.serving.home_role import HomeRole
from goldcrestpond.serving.home_table import HomeTable
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from .fake_meter import FakeMeter

pytestmark = pytest.mark.anyio
ACME = Requester("c1", "acme", 0.5)
LENT = messages.Lent({}, [])
WAIT = timedelta(seconds=1)
_numbers = itertools.count()


def refused(code, retry_after_ms=0):
    return messages.Refused(code.number, "", retry_after_ms)


class _Channel:
    is_broken = False

    async def aclose(self):
        self.is_broken = True


class _Watch:
    def __init__(self):
        self.silent = False
        self.scopes = []
        self.is_suspected = False

    def is_silent(self):
        return self.silent

    def suspect(self):
        self.is_suspected = True

    def add_waiting(self, scope):
        self.scopes.append(scope)

    def remove_waiting(self, scope):
        self.scopes.remove(scope)


class _Holder:
    """Holder whose responses are set by the test; an error is raised."""

    def __init__(self, name, availability_zone="z1"):
        self.name = name
        self.availability_zone = availability_zone
        self.health = EndpointHealth()
        self.watch = _Watch()
        self.checkout_count = 0
        self.lend = LENT
        self.charge = messages.Done()
        self.requests = []
        self.asked_at = 0
        self.ended = []
        self.denied = set()
        self.clock = None  # set by the world

    def denies_service(self, service, organisation=""):
        return organisation in self.denied

    def seems_usable(self, service, organisation):
        is_denied = self.denies_service(service, organisation)
        is_avoided = self.health.is_avoided(self.clock.now())
        return not (is_denied or is_avoided or self.watch.is_silent())

    async def acquire_channel(self):
        if self.lend is None:
            raise CodedError(ResultCode.PEER_UNREACHABLE, "no channel")
        return _Channel()

    async def release_channel(self, channel):
        pass

    async def send_watched(self, channel, message, wait):
        return await self.send_request(channel, message, wait)

    async def send_request(self, channel, message, wait):
        self.requests.append(message)
        self.asked_at = next(_numbers)
        response = self.lend if isinstance(message, messages.Lend) else self.charge
        if isinstance(response, CodedError):
            raise response
        return response

    def end_checkout(self, channel, is_intact):
        self.checkout_count -= 1
        self.ended.append(is_intact)


class _OwnPool:
    def __init__(self):
        self.error = None
        self.lent = []
        self.released = []

    async def acquire(self, term, deadline, requester, lane, priority=0):
        if self.error is not None:
            raise CodedError(self.error, "own")
        self.lent.append(requester)
        return ("own link", len(self.lent))

    def release(self, link):
        self.released.append(link)


class _World:
    def __init__(self, clock, tasks):
        self.clock = clock
        self.own = _OwnPool()
        self.home, self.next_home = _Holder("h1"), _Holder("h2")
        self.standby, self.other = _Holder("s"), _Holder("o")
        for holder in (self.home, self.next_home, self.standby, self.other):
            holder.clock = clock
        self.homes = HomeHolders(HomeRole.NONE, (self.home,), self.standby)
        self.meters = None  # as the homes
        self.is_holder = False
        self.meter = FakeMeter()
        self.log = ListLog()
        self.table = HomeTable("me")
        self.set_role(HomeRole.HOME)
        self.admission = HomeAdmission(self.table, clock)
        self.admission.meter = self.meter
        rng = random.Random(1)
        self.relay = RelayPool("s", "d1", lambda: [], "z1", clock, rng)
        meters = MeterClient(
            lambda organisation: self.meters or self.homes,
            self.admission,
            clock,
            rng,
            SupervisedTasks(tasks),
        )
        self.pool = OrganisationPool(
            "s",
            "d1",
            self.own,
            self.relay,
            lambda organisation: self.homes,
            lambda: [self.home, self.standby, self.other],
            lambda: self.is_holder,
            self.admission,
            meters,
            "z1",
            clock,
            rng,
            self.log,
        )

    def set_role(self, role):
        """Assign homes such that this instance has a role for the organisation."""
        names = ["acme", *(f"small{n}" for n in range(40))]
        organisations = {name: Organisation(name, 1, 50.0, 50.0) for name in names}
        for number in range(100):
            holders = [f"x{number}", f"y{number}"]
            holders += [] if role is HomeRole.NONE else ["me"]
            self.table.assign(organisations, {"s": holders}, ())
            if self.table.role("s", "acme") is role:
                return
        raise AssertionError(role)

    async def acquire(self):
        deadline = self.clock.now() + WAIT
        return await self.pool.acquire(0, deadline, ACME, Lane.SHORT, 0)

    async def fail(self):
        with pytest.raises(CodedError) as caught:
            await self.acquire()
        return caught.value

    async def lend(self, is_charged=False):
        deadline = self.clock.now() + WAIT
        return await self.pool.lend(is_charged, deadline, ACME, Lane.SHORT, 0)


@pytest.fixture
async def world(clock):
    clock.advance(timedelta(days=40))  # as on a machine up for weeks
    async with anyio.create_task_group() as tasks:
        yield _World(clock, tasks)


async def test_request_goes_to_the_home_with_the_organisation(world):
    link = await world.acquire()
    assert_that(link.holder, Is(world.home))
    (lend,) = world.home.requests
    assert_that(
        (lend.organisation, lend.weight, lend.is_charged), Equals(("acme", 0.5, False))
    )
    # The home charges it.
    assert_that(world.meter.charged, Equals([]))
    assert_that(world.home.checkout_count, Equals(1))


async def test_home_uses_its_own_connections_and_charges_itself(world):
    world.homes = HomeHolders(HomeRole.HOME, (world.next_home,), world.standby)
    await world.acquire()
    assert_that(world.own.lent, Equals([ACME]))
    assert_that(world.meter.charged, Equals([("acme", False)]))
    assert_that(world.next_home.requests, Equals([]))


async def test_several_homes_share_the_requests(world):
    world.homes = HomeHolders(HomeRole.NONE, (world.home, world.next_home), None)
    for _ in range(200):
        await world.acquire()
    assert_that(60 < len(world.home.requests) < 140, Is(True))
    assert_that(len(world.home.requests) + len(world.next_home.requests), Equals(200))


# Failure: home unreachable, no channel opens.
async def test_next_home_is_asked_if_no_channel_opens(world):
    world.homes = HomeHolders(
        HomeRole.NONE, (world.home, world.next_home), world.standby
    )
    world.home.lend = None
    links = [await world.acquire() for _ in range(10)]
    assert_that({link.holder.name for link in links}, Equals({"h2"}))
    assert_that(world.home.checkout_count, Equals(0))


# Failure: the connection to the home is lost before it responds.
async def test_standby_is_asked_if_the_connection_to_the_home_is_lost(world):
    world.home.lend = CodedError(ResultCode.PEER_UNREACHABLE, "lost")
    link = await world.acquire()
    assert_that(link.holder, Is(world.standby))
    assert_that(world.log.events(), Equals(["standby used"]))
    await world.acquire()
    world.home.lend = LENT
    await world.acquire()
    assert_that(world.log.events(), Equals(["standby used", "home used again"]))


# Failure: home unreachable, and this instance is the standby.
async def test_standby_serves_itself_from_the_reserve(world):
    world.homes = HomeHolders(HomeRole.STANDBY, (world.home,), None)
    world.home.lend = None
    world.set_role(HomeRole.STANDBY)
    await world.acquire()
    assert_that(world.meter.charged, Equals([("acme", True)]))


# Failure: the home failed twice a moment ago; each request would wait for it again.
async def test_home_that_failed_recently_is_asked_last(world, clock):
    for _ in range(2):
        world.home.health.record_failure(clock.now())
    link = await world.acquire()
    assert_that(link.holder, Is(world.standby))
    assert_that(world.home.requests, Equals([]))
    clock.advance(timedelta(seconds=3))
    assert_that((await world.acquire()).holder, Is(world.home))


# Failure: the home is frozen: it accepts the request, and answers no probe.
async def test_standby_is_asked_as_soon_as_the_home_answers_no_probe(world):
    async def hang(channel, message, wait):
        world.home.watch.scopes[0].cancel()  # as after a probe
        await anyio.sleep_forever()

    world.home.send_request = hang
    link = await world.acquire()
    assert_that(link.holder, Is(world.standby))
    assert_that(world.home.checkout_count, Equals(0))
    assert_that(world.home.watch.scopes, Equals([]))
    world.home.watch.silent = True
    for _ in range(5):
        assert_that((await world.acquire()).holder, Is(world.standby))


# Failure: home unreachable; the next request must not find that out once more.
async def test_home_that_fails_is_probed(world):
    world.home.lend = None
    await world.acquire()
    assert_that(world.home.watch.is_suspected, Is(True))
    assert_that(world.standby.watch.is_suspected, Is(False))


# Failure: home and standby unreachable: bounded, and known as not run.
async def test_request_fails_as_not_run_if_nobody_responds(world):
    world.home.lend = world.standby.lend = None
    error = await world.fail()
    assert_that(error.code, Is(ResultCode.HOME_UNREACHABLE))
    assert_that(error.retry_after_ms > 0, Is(True))
    assert_that(error.code in NOT_RUN & RETRYABLE, Is(True))


# Failure: the home does not respond until the deadline has passed.
async def test_no_further_holder_is_asked_after_the_deadline(world, clock):
    async def respond_late(channel, message, wait):
        clock.advance(WAIT + timedelta(milliseconds=1))
        raise CodedError(ResultCode.PEER_UNREACHABLE, "no response")

    world.home.send_request = respond_late
    error = await world.fail()
    assert_that(error.code, Is(ResultCode.HOME_UNREACHABLE))
    assert_that(world.standby.requests, Equals([]))


# Failure: the instances see the members differently, so the home denies.
@pytest.mark.parametrize(
    "code", [ResultCode.PEER_HOLDS_NOTHING, ResultCode.IDENTITY_UNPROVEN]
)
async def test_next_one_is_asked_if_the_home_denies(world, code):
    world.home.lend = refused(code)
    assert_that((await world.acquire()).holder, Is(world.standby))
    world.home.denied.add("acme")
    await world.acquire()
    assert_that(len(world.home.requests), Equals(1))


# Failure: the rate is exceeded at the only home; the standby would run more than it.
async def test_exceeded_rate_goes_back_to_the_caller_at_once(world):
    world.home.lend = refused(ResultCode.RATE_EXCEEDED, 70)
    error = await world.fail()
    assert_that(
        (error.code, error.retry_after_ms), Equals((ResultCode.RATE_EXCEEDED, 70))
    )
    assert_that(world.standby.requests + world.other.requests, Equals([]))


# Failure: an organisation has two homes and all its callers use one of them, which is
# refused below the rate of the organisation.
async def test_other_home_is_asked_if_the_rate_of_the_own_share_is_exceeded(world):
    world.homes = HomeHolders(HomeRole.HOME, (world.next_home,), world.standby, False)
    world.meter.exceeded.add("acme")
    assert_that((await world.acquire()).holder, Is(world.next_home))
    assert_that(world.own.lent, Equals([]))


# Failure: as before, and the other homes have nothing left or can't be asked: the
# refusal that tells when to retry is that of the first one.
async def test_first_refusal_is_raised_if_no_home_has_any_rate_left(world):
    unusable = _Holder("h3")
    unusable.clock = world.clock
    unusable.watch.silent = True
    homes = (world.home, world.next_home, unusable)
    world.homes = HomeHolders(HomeRole.NONE, homes, world.standby, False)
    world.home.lend = refused(ResultCode.RATE_EXCEEDED, 70)
    world.next_home.lend = refused(ResultCode.RATE_EXCEEDED, 90)
    for _ in range(20):
        before = {h: len(h.requests) for h in homes}
        error = await world.fail()
        assert_that(error.code, Is(ResultCode.RATE_EXCEEDED))
        first = min(homes[:2], key=lambda h: h.asked_at)
        assert_that(error.retry_after_ms, Equals(first.lend.retry_after_ms))
        asked = [len(h.requests) - before[h] for h in homes]
        assert_that(asked, Equals([1, 1, 0]))
    world.next_home.lend = None
    assert_that((await world.fail()).retry_after_ms, Equals(70))
    assert_that(world.standby.requests + world.other.requests, Equals([]))


# Failure: each home of a large organisation is asked in turn for what its one meter
# refuses.
async def test_no_other_home_is_asked_if_one_instance_meters(world):
    world.homes = HomeHolders(
        HomeRole.NONE, (world.home, world.next_home), world.standby
    )
    world.home.lend = world.next_home.lend = refused(ResultCode.RATE_EXCEEDED, 70)
    assert_that((await world.fail()).retry_after_ms, Equals(70))
    assert_that(len(world.home.requests + world.next_home.requests), Equals(1))


async def test_exceeded_rate_at_the_own_home_takes_no_connection(world):
    world.homes = HomeHolders(HomeRole.HOME, (), world.standby)
    world.meter.exceeded.add("acme")
    assert_that((await world.fail()).code, Is(ResultCode.RATE_EXCEEDED))
    assert_that(world.own.lent, Equals([]))


# Failure: the home's queue refuses after the charge: nothing was run.
async def test_charge_is_taken_back_if_the_queue_refuses(world):
    world.homes = HomeHolders(HomeRole.HOME, (), world.standby)
    world.own.error = ResultCode.OVERLOADED
    assert_that((await world.fail()).code, Is(ResultCode.OVERLOADED))
    assert_that(world.meter.refunded, Equals([("acme", False)]))


# Failure: the home answers but can't reach that database.
async def test_other_holder_lends_and_the_home_charges(world):
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    link = await world.acquire()
    assert_that(link.holder in (world.standby, world.other), Is(True))
    (lend,) = link.holder.requests
    assert_that(lend.is_charged, Is(True))
    assert_that(world.home.requests[1:], Equals([messages.Charge("s", "acme")]))


async def test_own_connections_are_lent_elsewhere_if_this_instance_holds(world):
    world.is_holder = True
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    await world.acquire()
    assert_that(world.own.lent, Equals([ACME]))
    assert_that(world.meter.charged, Equals([]))
    assert_that(world.home.requests[1:], Equals([messages.Charge("s", "acme")]))


# Failure: the home can't reach the database and then refuses or misses the charge.
@pytest.mark.parametrize(
    ("response", "code"),
    [
        (refused(ResultCode.RATE_EXCEEDED), ResultCode.RATE_EXCEEDED),
        (
            CodedError(ResultCode.PEER_UNREACHABLE, "lost"),
            ResultCode.HOME_UNREACHABLE,
        ),
    ],
)
async def test_connection_is_returned_unused_if_the_home_does_not_charge(
    world, response, code
):
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    world.home.charge = world.standby.charge = response
    assert_that((await world.fail()).code, Is(code))
    assert_that(world.standby.ended + world.other.ended, Equals([True]))
    assert_that(world.relay.running_count, Equals(0))


# Failure: the home lends nothing for want of the database, and is no longer the meter
# by the time it is asked to charge.
@pytest.mark.parametrize(
    "code", [ResultCode.IDENTITY_UNPROVEN, ResultCode.PEER_HOLDS_NOTHING]
)
async def test_standby_charges_if_the_meter_denies_the_charge(world, code):
    world.homes = HomeHolders(HomeRole.NONE, (world.home,), world.standby)
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    world.home.charge = refused(code)
    world.standby.health.record_failure(world.clock.now())
    world.standby.health.record_failure(world.clock.now())  # the other one lends
    link = await world.acquire()
    assert_that(link.holder, Is(world.other))
    assert_that(world.standby.requests, Equals([messages.Charge("s", "acme")]))


# Failure: the database is down; asking other holders would use up the rate and time.
async def test_database_that_no_holder_reaches_uses_up_no_rate(world, clock):
    for holder in (world.home, world.standby, world.other):
        holder.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    for _ in range(5):
        error = await world.fail()
        assert_that(error.code, Is(ResultCode.ENDPOINT_UNREACHABLE))
    assert_that(len(world.standby.requests + world.other.requests), Equals(1))
    charges = [r for r in world.home.requests if isinstance(r, messages.Charge)]
    assert_that(charges, Equals([]))
    clock.advance(ELSEWHERE_PAUSE)
    await world.fail()
    assert_that(len(world.standby.requests + world.other.requests), Equals(2))


# Failure: neither the home nor this instance's own connections reach the database.
async def test_other_holder_lends_if_own_connections_do_not_reach_it_either(world):
    world.is_holder = True
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    world.own.error = ResultCode.ENDPOINT_UNREACHABLE
    link = await world.acquire()
    assert_that(link.holder in (world.standby, world.other), Is(True))
    assert_that(link.holder.requests[0].is_charged, Is(True))
    assert_that(world.home.requests[1:], Equals([messages.Charge("s", "acme")]))


# Failure: a holder that was to lend refuses one organisation for reasons of its own, or
# is lost; that tells nothing of the database, and others need it elsewhere.
@pytest.mark.parametrize("code", [ResultCode.OVERLOADED, ResultCode.PEER_UNREACHABLE])
async def test_refusal_elsewhere_for_another_reason_ends_no_lending(world, code):
    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    world.standby.lend = world.other.lend = refused(code)
    error = await world.fail()
    assert_that(error.code, Is(ResultCode.ENDPOINT_UNREACHABLE))
    world.standby.lend = world.other.lend = LENT
    link = await world.acquire()
    assert_that(link.holder in (world.standby, world.other), Is(True))


# Failure: the holder that is to lend is frozen; the request must not wait for it.
async def test_holder_that_answers_no_probe_does_not_lend_elsewhere(world):
    async def hang(channel, message, wait):
        world.other.watch.scopes[0].cancel()  # as after a probe
        await anyio.sleep_forever()

    world.home.lend = refused(ResultCode.ENDPOINT_UNREACHABLE)
    world.standby.watch.silent = True
    world.other.send_request = hang
    with anyio.fail_after(1):
        error = await world.fail()
    assert_that(error.code, Is(ResultCode.ENDPOINT_UNREACHABLE))
    assert_that(world.standby.requests, Equals([]))
    assert_that(world.other.checkout_count, Equals(0))
    world.other.watch.silent = True
    await world.fail()
    assert_that(world.standby.requests, Equals([]))


async def test_home_lends_to_another_instance_and_charges(world):
    world.meters = HomeHolders(HomeRole.HOME, (), None)
    await world.lend()
    assert_that(world.meter.charged, Equals([("acme", False)]))
    assert_that(world.own.lent, Equals([ACME]))


async def test_other_holder_lends_without_a_charge(world):
    world.set_role(HomeRole.NONE)
    await world.lend(is_charged=True)
    assert_that((world.meter.charged, world.own.lent), Equals(([], [ACME])))
    with pytest.raises(CodedError) as caught:
        await world.lend()
    assert_that(caught.value.code, Is(ResultCode.PEER_HOLDS_NOTHING))


# Failure: another instance asks for an organisation that this one does not know, or
# this one's tables are too old to tell.
@pytest.mark.parametrize("is_charged", [False, True])
async def test_nothing_is_lent_for_an_unknown_organisation_or_unproven(
    world, is_charged
):
    world.admission.is_proven = lambda: False
    with pytest.raises(CodedError) as caught:
        await world.lend(is_charged)
    assert_that(caught.value.code, Is(ResultCode.IDENTITY_UNPROVEN))
    world.admission.is_proven = lambda: True
    world.table.assign({}, {"s": ["me"]}, ())
    with pytest.raises(CodedError) as caught:
        await world.lend(is_charged)
    assert_that(caught.value.code, Is(ResultCode.PEER_HOLDS_NOTHING))
    assert_that((world.meter.charged, world.own.lent), Equals(([], [])))


def test_homes_come_before_the_standby_and_unusable_ones_last():
    rng = random.Random(1)
    orders = {
        tuple(order_homes("abc", "s", lambda t: t not in "b", rng)) for _ in range(50)
    }
    assert_that(orders, Equals({("a", "c", "s", "b"), ("c", "a", "s", "b")}))
    assert_that(order_homes("a", "s", lambda t: False, rng), Equals(["a", "s"]))


async def test_connection_of_the_home_is_returned_to_it(world):
    link = await world.acquire()
    assert_that(isinstance(link, RemoteLink), Is(True))
    world.relay.release(link)
    assert_that(world.home.ended, Equals([True]))


# Failure: instances of two releases run side by side.
def test_request_of_an_earlier_release_is_nameless():
    body = msgspec.msgpack.encode(["Lend", "s", "d1", "c1", "short", 100.0, 3])
    lend = messages.decode_request(body)
    assert_that(
        (lend.organisation, lend.is_charged, lend.weight), Equals(("", False, 1.0))
    )
