"""Tests of the HTTP server that runs in the caller's event loop."""

import socket

import anyio
import httpx
import pytest
from starlette.applications import Starlette
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.api.http_server import serve_http
from goldcrestpond.api.tcp_listener import open_tcp_listener
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.settings.address import Address


# Guards against: responses delayed by Nagle's algorithm and delayed acknowledgements.
def test_nagles_algorithm_is_off_for_accepted_connections():
    async def main():
        listener = open_tcp_listener(Address("127.0.0.1", 0))
        client = socket.create_connection(listener.getsockname())
        with listener, client:
            accepted, _ = listener.accept()
            stream = await anyio.abc.SocketStream.from_socket(accepted)
            async with stream:
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                return raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    assert_that(anyio.run(main), Equals(1))


def test_address_in_use_is_refused_and_is_free_after_the_server_stops():
    async def main():
        async with serve_http(Starlette(), Address("127.0.0.1", 0)) as bound_address:
            with pytest.raises(CodedError) as caught:
                async with serve_http(Starlette(), bound_address):
                    pass
            assert_that(caught.value.code, Equals(ResultCode.ADDRESS_IN_USE))
            async with httpx.AsyncClient() as client:
                await client.get(f"http://{bound_address}/")
        async with serve_http(Starlette(), bound_address):
            pass

    anyio.run(main)
