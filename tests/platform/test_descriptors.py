"""An instance that runs out of file descriptors."""

import os
import resource
from contextlib import contextmanager

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, StartsWith

from goldcrestpond.root.instance import RESERVED_DESCRIPTORS

from ..line_world import LineCaller, run_in_world

SPARE_DESCRIPTORS = 12


@contextmanager
def _few_descriptors():
    """Limit the process to a few more descriptors than are open."""
    previous = resource.getrlimit(resource.RLIMIT_NOFILE)
    used = max(int(name) for name in os.listdir("/proc/self/fd")) + 1
    resource.setrlimit(resource.RLIMIT_NOFILE, (used + SPARE_DESCRIPTORS, previous[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, previous)


async def _connect_while_possible(address, streams):
    while True:
        try:
            streams.append(await anyio.connect_tcp(*address))
        except OSError:
            return


# Guards against: the process exits, and all sessions end, when callers open more
# connections than it has file descriptors.
def test_callers_are_served_while_no_descriptor_is_free():
    async def body(world):
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 1")
            streams = []
            with _few_descriptors():
                address = world.instances[0].caller_address
                await _connect_while_possible(address, streams)
                await anyio.sleep(0.3)
                answer = await caller.ask("WRITE a 2")
                for stream in streams:
                    await anyio.aclose_forcefully(stream)
            assert_that(answer[0], StartsWith("COMPLETE r"))
            assert_that(world.logs[0].events(), Contains("connection not accepted"))
        async with world.caller("own") as later:
            assert_that((await later.ask("READ a"))[0], StartsWith("ROW 2"))

    run_in_world(body)


# Guards against: callers use up the file descriptors that the connections to databases
# and the store need.
def test_caller_beyond_the_limit_is_refused_with_a_retry_delay():
    async def body(world):
        limit = RESERVED_DESCRIPTORS + 1
        instance = await world.start_instance("i2", descriptor_limit=limit)
        async with world.caller("own", instance) as caller:
            other = LineCaller(await anyio.connect_tcp(*instance.caller_address))
            refusal = await other.connect("own")
            assert_that(refusal, StartsWith("ERROR BUSY GP108"))
            assert_that(refusal, Contains("retry after"))
            assert_that((await caller.ask("READ a"))[-1], Equals("READY I -"))
        await anyio.sleep(0.05)
        async with world.caller("own", instance) as caller:
            assert_that((await caller.ask("READ a"))[-1], Equals("READY I -"))

    run_in_world(body)
