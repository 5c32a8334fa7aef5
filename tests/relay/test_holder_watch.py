"""When a holder is probed, and when its requests are given up."""

import time
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.relay import holder_watch
from goldcrestpond.relay.holder_watch import ANSWER_TIMEOUT, HolderWatch

pytestmark = pytest.mark.anyio
MS = timedelta(milliseconds=1)


class _World:
    def __init__(self, tasks):
        self.is_answering = True
        self.in_flight = 0
        self.most_in_flight = 0
        self.probe_count = 0
        self.changes = []
        self.watch = HolderWatch(self._probe, SystemClock(), tasks)
        self.watch.on_change = lambda is_silent, span: self.changes.append(is_silent)

    async def _probe(self):
        self.probe_count += 1
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        await anyio.sleep(0.005)
        self.in_flight -= 1
        return self.is_answering

    async def request(self, duration_s):
        """Return whether a request that takes a time was given up."""
        with anyio.CancelScope() as scope:
            self.watch.add_waiting(scope)
            try:
                await anyio.sleep(duration_s)
            finally:
                self.watch.remove_waiting(scope)
        return scope.cancelled_caught


@pytest.fixture
def run(monkeypatch):
    monkeypatch.setattr(holder_watch, "PROBE_DELAY", 20 * MS)
    monkeypatch.setattr(holder_watch, "PROBE_INTERVAL", 20 * MS)
    monkeypatch.setattr(holder_watch, "INTEREST_SPAN", 200 * MS)

    async def run(body):
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                await body(_World(tasks))
                tasks.cancel_scope.cancel()

    return run


async def test_holder_that_responds_soon_is_not_probed(run):
    async def body(world):
        for _ in range(20):
            assert_that(await world.request(0.002), Is(False))
            world.watch.record_heard()
        assert_that(world.probe_count, Equals(0))

    await run(body)


# Failure: a request waits in the queue of a holder that is alive; it must not be lost.
async def test_request_that_waits_in_a_queue_goes_on_while_probes_are_answered(run):
    async def body(world):
        assert_that(await world.request(0.2), Is(False))
        assert_that(world.probe_count >= 2, Is(True))
        assert_that(world.changes, Equals([]))

    await run(body)


# Failure: the holder is frozen; all requests that wait share one probe at a time.
async def test_requests_to_a_frozen_holder_are_given_up_together(run):
    async def body(world):
        world.is_answering = False
        given_up = []

        async def request():
            given_up.append(await world.request(5))

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(request)
        assert_that(given_up, Equals([True] * 10))
        assert_that((world.most_in_flight, world.probe_count), Equals((1, 1)))
        assert_that(world.changes, Equals([True]))
        assert_that(world.watch.is_silent(), Is(True))

    await run(body)


# Failure: the holder thaws; its organisations must return to it without a request that
# tries.
async def test_holder_is_used_again_once_it_answers_a_probe(run):
    async def body(world):
        world.is_answering = False
        await world.request(5)
        world.is_answering = True
        while world.watch.is_silent():
            await anyio.sleep(0.005)
        assert_that(world.changes, Equals([True, False]))
        assert_that(world.watch.silence(), Is(None))

    await run(body)


# Failure: a member is gone for good; it must not be probed for ever.
async def test_probes_end_when_nobody_asks_any_more(run):
    async def body(world):
        world.is_answering = False
        world.watch.suspect()
        await anyio.sleep(0.4)
        count = world.probe_count
        assert_that(2 <= count <= 11, Is(True))
        await anyio.sleep(0.1)
        assert_that(world.probe_count, Equals(count))
        assert_that(world.watch.is_silent(), Is(True))
        await anyio.sleep(0.03)
        assert_that(world.probe_count > count, Is(True))

    await run(body)


# Failure: all homes are silent and nobody has asked about them for a while; a request
# that tries one of them all the same would wait until its deadline.
async def test_request_to_a_holder_that_was_silent_long_ago_is_given_up(run):
    async def body(world):
        world.is_answering = False
        world.watch.suspect()
        await anyio.sleep(0.3)
        assert_that(await world.request(2), Is(True))

    await run(body)


# Failure: this process stalls while a probe is under way until the limit of the probe
# has passed: a home that answers would look silent.
async def test_probe_that_a_stall_of_this_process_fell_into_tells_nothing(run):
    async def body(world):
        stalls = [True]

        async def probe():
            world.probe_count += 1
            if not stalls:
                return True
            stalls.pop()
            time.sleep(1.5 * ANSWER_TIMEOUT.total_seconds())
            return False

        world.watch._probe = probe
        assert_that(await world.request(1.5), Is(False))
        assert_that(world.changes, Equals([]))
        assert_that(world.probe_count >= 2, Is(True))

    await run(body)


# Failure: a holder's queue is long; each request that waits must not have it probed
# twenty times a second for nothing.
async def test_answered_probe_is_followed_by_a_pause(run, monkeypatch):
    monkeypatch.setattr(holder_watch, "PROBE_INTERVAL", 100 * MS)

    async def body(world):
        assert_that(await world.request(0.3), Is(False))
        assert_that(2 <= world.probe_count <= 4, Is(True))

    await run(body)


# Failure: a holder was silent, is back, and is marked absent since nobody probed it.
async def test_silence_is_told_only_while_probes_go_on(run, monkeypatch):
    monkeypatch.setattr(holder_watch, "EVIDENCE_SPAN", 50 * MS)

    async def body(world):
        world.is_answering = False
        world.watch.suspect()
        await anyio.sleep(0.15)
        assert_that(world.watch.silence() >= 80 * MS, Is(True))
        await anyio.sleep(0.25)
        assert_that(world.watch.silence(), Is(None))
        # Probed again: the time without probes does not count.
        assert_that(world.watch.is_silent(), Is(True))
        await anyio.sleep(0.02)
        assert_that(world.watch.silence() < 40 * MS, Is(True))

    await run(body)


# Failure: a probe is lost while the holder answers other requests.
async def test_holder_that_was_heard_since_the_probe_is_not_silent(run):
    async def body(world):
        world.is_answering = False
        world.watch.suspect()
        await anyio.sleep(0.002)
        world.watch.record_heard()
        await anyio.sleep(0.01)
        assert_that(world.watch.is_silent(), Is(False))

    await run(body)
