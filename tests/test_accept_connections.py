"""Accepting connections, and stopping to."""

import asyncio
import socket

import anyio
import pytest
from anyio.abc import SocketAttribute
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.frames.accept_connections import accept_connections
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

pytestmark = pytest.mark.anyio


async def _serve(stream):
    async with stream:
        await stream.send(await stream.receive())


@pytest.fixture
async def listener():
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        yield listener


def _connect(listener):
    port = listener.extra(SocketAttribute.local_port)
    return socket.create_connection(("127.0.0.1", port))


# Failure: a connection that arrives while the process stops is accepted for nobody, and
# an InvalidStateError of asyncio's `_sock_accept` is written to the log.
async def test_connection_that_arrives_at_a_stop(listener):
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    async with anyio.create_task_group() as group:
        tasks = SupervisedTasks(group)
        group.start_soon(accept_connections, listener, _serve, tasks, errors.append)
        await anyio.sleep(0.05)
        with _connect(listener):
            # Both fall into one turn of the loop, first the stop.
            loop.call_soon(group.cancel_scope.cancel)
            await anyio.sleep(1)
    assert_that(errors, Equals([]))


# Failure: connections that arrive together, or in a row, are not all accepted.
async def test_connections_are_accepted(listener):
    async with anyio.create_task_group() as group:
        tasks = SupervisedTasks(group)
        group.start_soon(accept_connections, listener, _serve, tasks, print)
        for count in (1, 5):
            callers = [_connect(listener) for _ in range(count)]
            for caller in callers:
                caller.sendall(b"a")
            await anyio.sleep(0.1)
            for caller in callers:
                caller.settimeout(1)
                assert_that(caller.recv(1), Equals(b"a"))
                caller.close()
        group.cancel_scope.cancel()
