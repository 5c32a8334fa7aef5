"""Calls to the store over connections that are kept."""

from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.api.http_server import serve_http
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.platform.http_client import MAX_IDLE_CONNECTIONS, HttpClient
from goldcrestpond.settings.address import Address
from goldcrestpond.soak.fault_proxy import FaultProxy
from goldcrestpond.standin.line_platform import LinePlatform

READ = "/-/rows-get?tableName=t"
FEED = "/-/rows-feed?tableName=t&after=0&waitMs=300"
LIMIT = timedelta(seconds=5)
SHORT = timedelta(milliseconds=300)


def _run(body):
    """Run ``body`` with a client that keeps as many connections as it may."""

    async def run():
        with anyio.fail_after(20):
            async with (
                serve_http(
                    LinePlatform().application(), Address("127.0.0.1", 0)
                ) as address,
                anyio.create_task_group() as tasks,
            ):
                proxy = FaultProxy(address)
                client = HttpClient(await proxy.start(tasks))
                async with anyio.create_task_group() as calls:
                    for _ in range(MAX_IDLE_CONNECTIONS):
                        calls.start_soon(client.request, "GET", FEED, LIMIT)
                await body(client, proxy)
                await client.aclose()
                tasks.cancel_scope.cancel()

    anyio.run(run)


# Guards against: each kept connection that has gone silent costs another call its
# whole limit, so that a change comes later than an instance may serve without it.
def test_silent_connections_cost_one_call():
    async def body(client, proxy):
        proxy.silence_connections()
        with pytest.raises(CodedError):
            await client.request("GET", READ, SHORT)
        answer = await client.request("GET", READ, SHORT)
        assert_that(answer.status, Equals(200))

    _run(body)


def test_call_without_an_answer_names_the_kind_of_its_connection():
    async def body(client, proxy):
        proxy.silence_connections()
        with pytest.raises(CodedError) as kept:
            await client.request("GET", READ, SHORT)
        proxy.faults.drops_answers = True
        await client.aclose()
        with pytest.raises(CodedError) as fresh:
            await client.request("GET", READ, SHORT)
        assert_that(kept.value.detail, Contains("over a reused connection"))
        assert_that(fresh.value.detail, Contains("over a new connection"))

    _run(body)
