"""Direct sends keep bytes in order and never reach another connection."""

import os
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.frames.direct_sender import DirectSender

_SIZES = st.lists(st.sampled_from([1, 100, 5000, 8_000_000]), min_size=1, max_size=6)


@asynccontextmanager
async def connected():
    """Open one connection and yield both of its ends."""
    accepted = []

    async def keep(stream):
        accepted.append(stream)
        await anyio.sleep_forever()

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, keep)
            port = listener.extra(SocketAttribute.local_port)
            async with await anyio.connect_tcp("127.0.0.1", port) as near:
                while not accepted:
                    await anyio.sleep(0.001)
                yield near, accepted[0]
            tasks.cancel_scope.cancel()


async def read(stream, count):
    data = bytearray()
    while len(data) < count:
        data += await stream.receive()
    return data


async def cancel_send(sender, data):
    """Cancel a send while it waits for the reader.

    The cancellation is scheduled as a task: on a busy machine a timeout around the
    send could expire before the send waits.
    """

    async def cancel_soon(scope):
        await anyio.sleep(0.005)
        scope.cancel()

    async with anyio.create_task_group() as tasks:
        with anyio.CancelScope() as scope:
            tasks.start_soon(cancel_soon, scope)
            await sender.send(data)


@settings(max_examples=25)
@given(_SIZES, st.booleans())
def test_bytes_arrive_in_order_for_any_sizes(sizes, is_first_send_cancelled):
    parts = [bytes([at + 1]) * size for at, size in enumerate(sizes)]

    async def main():
        async with connected() as (near, far):
            sender = DirectSender(near)
            sent = parts
            if is_first_send_cancelled:
                # The rest of a cancelled send is still sent, before later sends.
                sent = [b"x" * 20_000_000, *parts]
                await cancel_send(sender, sent[0])
            expected = b"".join(sent)
            async with anyio.create_task_group() as tasks:

                async def send_all():
                    for part in parts:
                        await sender.send(part)

                tasks.start_soon(send_all)
                with anyio.fail_after(60):
                    received = await read(far, len(expected))
            assert_that(received == expected, Equals(True))

    anyio.run(main)


# Guards against bytes that reach another connection which was given the descriptor
# number of a closed one.
def test_send_on_a_closed_connection_fails_after_its_descriptor_is_reused():
    async def main():
        async with connected() as (near, _):
            sender = DirectSender(near)
            descriptor = near.extra(SocketAttribute.raw_socket).fileno()
            reader, writer = os.pipe()
            await near.aclose()
            await anyio.sleep(0.01)
            os.dup2(writer, descriptor)
            try:
                with pytest.raises((OSError, anyio.ClosedResourceError)):
                    await sender.send(b"crossed")
                os.set_blocking(reader, False)
                with pytest.raises(BlockingIOError):
                    os.read(reader, 100)
            finally:
                for each in {reader, writer, descriptor}:
                    os.close(each)

    anyio.run(main)
