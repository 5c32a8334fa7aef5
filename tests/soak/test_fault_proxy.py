"""Faults of a ``FaultProxy``: delay, reset, cut and silence."""

import os
import time

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.settings.address import Address
from goldcrestpond.soak.fault_proxy import LOOPBACK, FaultProxy, LinkFaults
from goldcrestpond.soak.socket_owner import find_owner


def _run(body):
    async def run():
        async def echo(stream):
            async with stream:
                async for data in stream:
                    await stream.send(data)

        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                tasks.start_soon(listener.serve, echo)
                proxy = FaultProxy(Address(LOOPBACK, port))
                address = await proxy.start(tasks)
                stream = await anyio.connect_tcp(address.host, address.port)
                await stream.send(b"1")
                assert_that(await stream.receive(), Equals(b"1"))
                await body(proxy, stream)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def _is_silent(stream):
    await stream.send(b"2")
    with anyio.move_on_after(0.1) as scope:
        await stream.receive()
    return scope.cancelled_caught


def test_delay_applies_in_both_directions():
    async def body(proxy, stream):
        proxy.faults = LinkFaults(delay_s=0.05)
        started_at = time.monotonic()
        await stream.send(b"2")
        await stream.receive()
        assert_that(time.monotonic() - started_at >= 0.1, Is(True))

    _run(body)


def test_reset_ends_open_connections():
    async def body(proxy, stream):
        await proxy.reset_connections()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await stream.receive()

    _run(body)


@pytest.mark.parametrize(
    "faults", [LinkFaults(drops_requests=True), LinkFaults(drops_answers=True)]
)
def test_cut_in_one_direction_stops_answers(faults):
    async def body(proxy, stream):
        proxy.faults = faults
        assert_that(await _is_silent(stream), Is(True))

    _run(body)


def test_silence_affects_only_open_connections():
    async def body(proxy, stream):
        proxy.silence_connections()
        assert_that(await _is_silent(stream), Is(True))
        new_stream = await anyio.connect_tcp(proxy.address.host, proxy.address.port)
        assert_that(await _is_silent(new_stream), Is(False))
        await anyio.aclose_forcefully(new_stream)

    _run(body)


# Guards against: a cut that strikes every caller, instead of some processes.
def test_cut_affects_callers_of_some_processes():
    async def body(proxy, stream):
        def is_cut(port):
            return find_owner(port, processes) is not None

        processes = [os.getppid()]
        proxy.silence_connections(is_cut)
        assert_that(await _is_silent(stream), Is(False))
        processes = [os.getppid(), os.getpid()]
        proxy.is_cut = is_cut
        new_stream = await anyio.connect_tcp(proxy.address.host, proxy.address.port)
        assert_that(await _is_silent(new_stream), Is(True))
        assert_that(await _is_silent(stream), Is(False))
        await anyio.aclose_forcefully(new_stream)

    _run(body)
