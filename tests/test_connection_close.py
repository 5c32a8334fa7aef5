"""Closing a connection that another task is using."""

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
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, lambda stream: anyio.sleep_forever())
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            stream = await anyio.connect_tcp("127.0.0.1", port)
            address = Address("127.0.0.1", port)
            connection = EndpointConnection(stream, FrameSplitter(1024), address)
            with anyio.fail_after(10):
                async with anyio.create_task_group() as users:
                    users.start_soon(send_in_vain, connection)
                    await anyio.sleep(0.05)
                    await connection.aclose()
            tasks.cancel_scope.cancel()

    async def send_in_vain(connection):
        with pytest.raises(CodedError) as caught:
            await connection.send(ENDLESS)
        assert_that(caught.value.code, Is(ResultCode.ANSWER_INTERRUPTED))

    anyio.run(main)
