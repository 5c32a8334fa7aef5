"""Creates and runs the resource API."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

import anyio

from ..api.api_settings import ApiSettings
from ..api.authorization import check_tokens_for_address
from ..api.http_server import serve_http
from ..api.resource_api import ResourceApi
from ..api.status_reader import ReadInForce
from ..clock.clock import Clock
from ..clock.system_clock import SystemClock
from ..peer.in_force_reader import InForceReader
from ..peer.list_seeds import make_seed_lister
from ..settings.address import Address, parse_address
from ..store.configuration_source import ConfigurationSource
from ..store.http_platform import HttpPlatform
from ..store.platform import Platform


@asynccontextmanager
async def run_api(
    settings: ApiSettings, clock: Clock | None = None, seed: int | None = None
) -> AsyncIterator[Address]:
    """Run the resource API without a proxy while the context is open.

    Parameters
    ----------
    settings : ApiSettings
        Settings of the process.
    clock : Clock, optional
        Source of time; the system clock by default.
    seed : int, optional
        Seed of the random generator; random by default.

    Yields
    ------
    Address
        Address on which the API listens.

    Raises
    ------
    CodedError
        SETTINGS_INVALID or ADDRESS_IN_USE.
    """
    clock = clock or SystemClock()
    rng = random.Random(seed)
    timeout = timedelta(milliseconds=settings.platform_timeout_ms)
    platform_address = parse_address(settings.platform)
    # The instance list is read one request after another, so a request that hangs
    # must time out soon. Changes and reads of the table run concurrently and may be
    # slow, so they have a client with the timeout of the settings.
    instance_list_client = HttpPlatform(platform_address)
    platform = HttpPlatform(platform_address, timeout)
    async with instance_list_client, platform, anyio.create_task_group() as tasks:
        source = ConfigurationSource(platform, clock, rng, settings.instance)
        await tasks.start(source.run)
        address = parse_address(settings.address)
        in_force_reader = InForceReader(
            make_seed_lister(instance_list_client), settings.peer_key, clock, rng
        )
        await tasks.start(in_force_reader.run)
        async with serve_api(
            address, platform, source, in_force_reader.in_force, settings.tokens, rng
        ) as listen_address:
            yield listen_address
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def serve_api(
    address: Address,
    platform: Platform,
    source: ConfigurationSource,
    read_in_force: ReadInForce,
    tokens: list[str],
    rng: random.Random,
) -> AsyncIterator[Address]:
    """Serve the resource API within a running process.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 lets the operating system choose.
    platform : Platform
        Client of the platform's service.
    source : ConfigurationSource
        Source of the process's configuration.
    read_in_force : callable
        Returns the revisions in force on live instances.
    tokens : list of str
        Accepted bearer tokens; if empty, the address must be on loopback.
    rng : random.Random
        Source of randomness, seeded differently in each process.

    Yields
    ------
    Address
        Address on which the API listens.
    """
    check_tokens_for_address(address.host, tokens)
    api = ResourceApi(platform, source, read_in_force, tokens, rng)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(api.run)
        async with serve_http(api.make_application(), address) as listen_address:
            yield listen_address
        tasks.cancel_scope.cancel()
