"""Calls of the platform's stand-in: the feed of changed rows."""

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.standin.line_platform import LinePlatform

ADDRESS = "http://platform"


@pytest.fixture
def platform():
    return LinePlatform()


def call_platform(platform, body):
    """Run ``body`` with a client of the platform."""

    async def run():
        transport = httpx.ASGITransport(platform.application())
        async with httpx.AsyncClient(transport=transport, base_url=ADDRESS) as client:
            with anyio.fail_after(10):
                await body(client)

    anyio.run(run)


# Guards against: a feed that names the newest version without the rows that changed
# in the last moment of its wait, so that its reader never learns of them.
def test_feed_answers_with_every_row_up_to_its_version(platform):
    async def body(client):
        version = platform.put("op", "config", 1)
        query = {"tableName": "op", "after": version, "waitMs": 6}
        missed = []
        for number in range(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_put_soon, platform, number)
                answer = await client.get("/-/rows-feed", params=query)
            rows, newest = answer.json()["rows"], answer.json()["ver"]
            if max([row["ver"] for row in rows], default=query["after"]) < newest:
                missed.append(newest)
            query["after"] = platform.put("op", "config", 1)
        assert_that(missed, Equals([]))

    call_platform(platform, body)


async def _put_soon(platform, value):
    await anyio.sleep(0.003)
    platform.put("op", "config", value)
