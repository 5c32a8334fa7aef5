"""Closing a connection that another task is using."""

import socket

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from goldcrestpond.endpoint.endpoint_connection import EndpointConnection
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.frames.frame_splitter import FrameSplitter
from goldcrestpond.settings.address import Address

ENDLESS = b"\0" * (64 << 20)


def test_close_during_a_send_ends_both():
    """A database that reads nothing must not hold up or break its pool."""

    async def main():
        # A connection that is not accepted is not read by anybody, the event loop
        # included, which takes what comes for a handler that only sleeps.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            stream = await anyio.connect_tcp("127.0.0.1", port)
            address = Address("127.0.0.1", port)
            connection = EndpointConnection(stream, FrameSplitter(1024), address)
            with anyio.fail_after(10):
                async with anyio.create_task_group() as users:
                    users.start_soon(send_in_vain, connection)
                    await anyio.sleep(0.05)
                    await connection.aclose()

    async def send_in_vain(connection):
        with pytest.raises(CodedError) as caught:
            await connection.send(ENDLESS)
        assert_that(caught.value.code, Is(ResultCode.ANSWER_INTERRUPTED))

    anyio.run(main)
