"""Channels to one holder, over a connection that misbehaves."""

from datetime import timedelta

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.relay.channel import Channel
from goldcrestpond.relay.holder import Holder
from goldcrestpond.settings.address import Address
from goldcrestpond.soak.fault_proxy import FaultProxy

QUESTION = messages.Prove("s", 100.0)
ANSWER = messages.Refused(ResultCode.NO_PRIMARY.number, "", 0)
WAIT = timedelta(milliseconds=100)
CHANNEL_COUNT = 4


async def _answer_all(stream):
    channel = Channel(stream)
    with pytest.raises(CodedError):  # the test closes the channel
        while True:
            await channel.receive()
            await channel.send(ANSWER)


async def _open_channels(holder):
    channels = [await holder.take() for _ in range(CHANNEL_COUNT)]
    for channel in channels:
        assert_that(await holder.ask(channel, QUESTION, WAIT), Equals(ANSWER))
        await holder.give_back(channel)


async def _ask(holder):
    channel = await holder.take()
    try:
        return await holder.ask(channel, QUESTION, WAIT)
    finally:
        await holder.give_back(channel)


# Guards against: each kept channel that has gone silent costs one more request its
# whole wait, though new ones work.
def test_silent_channels_cost_one_question():
    async def body():
        async with anyio.create_task_group() as tasks:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, _answer_all)
            port = listener.extra(SocketAttribute.local_port)
            proxy = FaultProxy(Address("127.0.0.1", port))
            address = await proxy.start(tasks)
            holder = Holder("i1", address, "z1", SystemClock(), tasks)
            await _open_channels(holder)
            proxy.silence_connections()
            with pytest.raises(CodedError):
                await _ask(holder)
            assert_that(await _ask(holder), Equals(ANSWER))
            await holder.aclose()
            tasks.cancel_scope.cancel()

    async def run():
        with anyio.fail_after(10):
            await body()

    anyio.run(run)
