"""A connection is closed while another task sends on it."""

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

UNREAD_DATA = b"\0" * (64 << 20)  # more than any socket buffer takes


# Guards against a database that stops reading: closing a connection to it neither
# blocks nor raises an error in the pool.
def test_close_during_a_send_ends_the_send_and_the_close():
    async def main():
        # The connection is never accepted, so nothing reads it. An accepted one would
        # be read by the event loop even if its handler only sleeps.
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            stream = await anyio.connect_tcp("127.0.0.1", port)
            address = Address("127.0.0.1", port)
            connection = EndpointConnection(stream, FrameSplitter(1024), address)
            with anyio.fail_after(10):
                async with anyio.create_task_group() as users:
                    users.start_soon(send_until_interrupted, connection)
                    await anyio.sleep(0.05)
                    await connection.aclose()

    async def send_until_interrupted(connection):
        with pytest.raises(CodedError) as caught:
            await connection.send(UNREAD_DATA)
        assert_that(caught.value.code, Is(ResultCode.ANSWER_INTERRUPTED))

    anyio.run(main)
