"""Runs resource APIs on a platform stand-in, over real sockets."""

import random
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio
import httpx

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.revision_count import RevisionCount
from goldcrestpond.root.api import serve_api
from goldcrestpond.settings.address import Address
from goldcrestpond.standin.platform_standin import run_platform
from goldcrestpond.store.configuration_source import ConfigurationSource
from goldcrestpond.store.http_platform import HttpPlatform

LOOPBACK = Address("127.0.0.1", 0)
CLOCK = SystemClock()

GROUP_SPEC = {
    "databases": [
        {"name": "a", "address": "127.0.0.1:1"},
        {"name": "b", "address": "127.0.0.1:2"},
    ],
    "user": "proxy",
    "password": "secret",
}


@asynccontextmanager
async def run_api_on(standin, tokens=(), seed=1, timeout=timedelta(seconds=2)):
    """Yield a client of an API that reports itself as the only live instance."""
    async with (
        HttpPlatform(standin.address, timeout) as platform,
        anyio.create_task_group() as tasks,
    ):
        rng = random.Random(seed)
        source = ConfigurationSource(platform, CLOCK, rng, f"i{seed}")
        await tasks.start(source.run)

        def read_in_force():
            return [RevisionCount(source.current.revision, 1)]

        async with (
            serve_api(
                LOOPBACK, platform, source, read_in_force, list(tokens), rng
            ) as bound_address,
            httpx.AsyncClient(base_url=f"http://{bound_address}", timeout=20) as client,
        ):
            yield client
        tasks.cancel_scope.cancel()


def run_with_apis(scenario, count=1, **options):
    """Run a scenario with a platform stand-in and a client of each of its APIs."""

    async def main():
        async with run_platform(LOOPBACK, CLOCK) as standin:
            async with _run_apis(standin, count, options) as clients:
                with anyio.fail_after(30):
                    await scenario(standin, *clients)

    anyio.run(main)


@asynccontextmanager
async def _run_apis(standin, count, options):
    if count == 0:
        yield []
        return
    async with (
        run_api_on(standin, seed=count, **options) as client,
        _run_apis(standin, count - 1, options) as others,
    ):
        yield [client, *others]
