"""HTTP calls to the store over persistent connections."""

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
TIMEOUT = timedelta(seconds=5)
SHORT_TIMEOUT = timedelta(milliseconds=300)


def _run(body):
    """Run ``body`` with a client that has its maximum of idle connections."""

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
                        calls.start_soon(client.request, "GET", FEED, TIMEOUT)
                await body(client, proxy)
                await client.aclose()
                tasks.cancel_scope.cancel()

    anyio.run(run)


# Guards against: after a network fault each idle connection makes another call time
# out, so that an instance gets a changed configuration too late.
def test_silent_connections_cost_one_call():
    async def body(client, proxy):
        proxy.silence_connections()
        with pytest.raises(CodedError):
            await client.request("GET", READ, SHORT_TIMEOUT)
        answer = await client.request("GET", READ, SHORT_TIMEOUT)
        assert_that(answer.status, Equals(200))

    _run(body)


def test_error_of_an_unanswered_call_says_whether_the_connection_was_new():
    async def body(client, proxy):
        proxy.silence_connections()
        with pytest.raises(CodedError) as reused:
            await client.request("GET", READ, SHORT_TIMEOUT)
        proxy.faults.drops_answers = True
        await client.aclose()
        with pytest.raises(CodedError) as new:
            await client.request("GET", READ, SHORT_TIMEOUT)
        assert_that(reused.value.detail, Contains("over a reused connection"))
        assert_that(new.value.detail, Contains("over a new connection"))

    _run(body)
