"""Channels to one holder over connections that stop delivering data."""

from datetime import timedelta

import anyio
import msgspec
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.channel import Channel
from goldcrestpond.relay.holder import (
    IDLE_CHANNEL_SPAN,
    MAX_IDLE_CHANNELS,
    Holder,
)
from goldcrestpond.serving.endpoint_health import FAILURES_BEFORE_AVOIDANCE
from goldcrestpond.settings.address import Address
from goldcrestpond.soak.fault_proxy import FaultProxy

REQUEST = messages.Prove("s", 100.0)
RESPONSE = messages.Refused(ResultCode.NO_PRIMARY.number, "", 0)
WAIT = timedelta(milliseconds=100)
CHANNEL_COUNT = 4


async def _respond_to_all(stream):
    channel = Channel(stream)
    with pytest.raises(CodedError):  # the test closes the channel
        while True:
            await channel.receive()
            await channel.send(RESPONSE)


async def _open_channels(holder):
    channels = [await holder.acquire_channel() for _ in range(CHANNEL_COUNT)]
    for channel in channels:
        assert_that(await holder.send_request(channel, REQUEST, WAIT), Equals(RESPONSE))
        await holder.release_channel(channel)


async def _request_leader(holder):
    channel = await holder.acquire_channel()
    try:
        return await holder.send_request(channel, REQUEST, WAIT)
    finally:
        await holder.release_channel(channel)


# Guards against: after the connections to a holder have stopped delivering data, each
# idle channel makes one more request wait for its whole timeout, although a new channel
# would work.
def test_one_request_fails_after_idle_channels_stop_delivering_data():
    async def body():
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, _respond_to_all)
            port = listener.extra(SocketAttribute.local_port)
            proxy = FaultProxy(Address("127.0.0.1", port))
            address = await proxy.start(tasks)
            holder = Holder("i1", address, "z1", SystemClock(), tasks)
            await _open_channels(holder)
            proxy.silence_connections()
            with pytest.raises(CodedError):
                await _request_leader(holder)
            assert_that(await _request_leader(holder), Equals(RESPONSE))
            await holder.aclose()
            tasks.cancel_scope.cancel()

    async def run():
        with anyio.fail_after(10):
            await body()

    anyio.run(run)


async def _answer_probes(stream):
    channel = Channel(stream)
    with pytest.raises(CodedError):  # the holder closes the channel
        while True:
            await channel.receive()
            await channel.send(messages.Done())


async def _wait_until(is_reached):
    with anyio.fail_after(5):
        while not is_reached():
            await anyio.sleep(0.005)


# Failure: a home was lost for a moment and answers again, but stays avoided for the
# rest of the time that its failures brought.
def test_holder_that_answers_a_probe_is_avoided_no_more():
    async def body():
        clock = SystemClock()
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, _answer_probes)
            port = listener.extra(SocketAttribute.local_port)
            holder = Holder("i1", Address("127.0.0.1", port), "z1", clock, tasks)
            for _ in range(6):
                holder.health.record_failure(clock.now())
            holder.watch.suspect()
            await _wait_until(lambda: not holder.health.is_avoided(clock.now()))
            assert_that(holder.watch.is_silent(), Is(False))
            since = clock.now()
            await holder.aclose()
            tasks.cancel_scope.cancel()
        return since

    async def run():
        since = SystemClock().now()
        assert_that(await body() - since < timedelta(seconds=1), Is(True))

    anyio.run(run)


# Failure: a member is gone; the probes, which nobody waits for, lengthen its avoidance.
def test_failed_probes_do_not_count_as_failures_of_requests():
    async def run():
        clock = SystemClock()
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            await listener.aclose()
            holder = Holder("i1", Address("127.0.0.1", port), "z1", clock, tasks)
            for _ in range(FAILURES_BEFORE_AVOIDANCE):
                assert_that(await holder._probe(), Is(False))
            assert_that(holder.health.is_avoided(clock.now()), Is(False))
            for _ in range(FAILURES_BEFORE_AVOIDANCE):
                with pytest.raises(CodedError):
                    await holder.acquire_channel()
            assert_that(holder.health.is_avoided(clock.now()), Is(True))
            tasks.cancel_scope.cancel()

    anyio.run(run)


class _FakeChannel:
    """Channel that answers as told; ``None`` means that it is lost."""

    def __init__(self, response=None):
        self.response = response
        self.is_broken = False
        self.is_closed = False

    async def send_request(self, message):
        if self.response is None:
            raise CodedError(ResultCode.ANSWER_INTERRUPTED, "lost")
        return self.response

    async def aclose(self):
        await anyio.sleep(0)
        self.is_closed = True


def _fake_holder(clock):
    return Holder("i1", Address("127.0.0.1", 1), "z1", clock, None)


# Failure: an instance sends all work of a large organisation to one home, and opens a
# connection for most of its requests.
def test_channels_of_a_recent_peak_are_kept_and_the_excess_is_closed(clock):
    async def run():
        holder = _fake_holder(clock)
        channels = [_FakeChannel() for _ in range(MAX_IDLE_CHANNELS + 3)]
        for channel in channels:
            await holder.release_channel(channel)
        assert_that([c.is_closed for c in channels[-4:]], Equals([False] + 3 * [True]))
        kept = channels[:-3]
        # Half of them are in use at once from now on.
        for _ in range(int(2 * IDLE_CHANNEL_SPAN / timedelta(seconds=1))):
            clock.advance(timedelta(seconds=1))
            used = [
                await holder.acquire_channel() for _ in range(MAX_IDLE_CHANNELS // 2)
            ]
            assert_that(any(c.is_closed for c in used), Is(False))
            for channel in used:
                await holder.release_channel(channel)
        assert_that([c.is_closed for c in kept].count(False), Equals(len(kept) // 2))

    anyio.run(run)


# Failure: a request is cancelled, as when its home answers no probe, while the channels
# that failed with it are being closed.
def test_channels_are_closed_although_the_request_is_cancelled(clock):
    async def run():
        holder = _fake_holder(clock)
        idle = [_FakeChannel() for _ in range(3)]
        for channel in idle:
            await holder.release_channel(channel)
        with anyio.CancelScope() as scope:
            scope.cancel()
            await holder._close_channels_idle_since(clock.now())
        assert_that([c.is_closed for c in idle], Equals([True] * 3))

    anyio.run(run)


# Failure: a holder that can't lend in a home's place denies that; it may still be the
# home or the standby, and a home that lends so may have denied to charge.
def test_answer_to_a_charged_lend_tells_nothing_about_the_home(clock):
    denial = messages.Refused(ResultCode.PEER_HOLDS_NOTHING.number, "", 0)
    plain = messages.Lend("s", "d1", "c", "short", 9.0, 1, "acme")
    charged = msgspec.structs.replace(plain, is_charged=True)

    async def run():
        holder = _fake_holder(clock)

        async def send(message, response):
            await holder.send_request(_FakeChannel(response), message, WAIT)
            return holder.denies_service("s", "acme")

        assert_that(await send(charged, denial), Is(False))
        assert_that(await send(plain, denial), Is(True))
        assert_that(await send(charged, messages.Lent({}, [])), Is(True))
        assert_that(await send(plain, messages.Lent({}, [])), Is(False))

    anyio.run(run)
