"""Runs a stand-in platform, a database group and a proxy as separate processes."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import anyio

from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.configuration.database_spec import DatabaseSpec
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.route_spec import RouteSpec
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.settings.address import Address, parse_address
from goldcrestpond.standin.database_group_settings import (
    DatabaseGroupSettings,
    StandinDatabase,
)
from goldcrestpond.standin.platform_settings import PlatformStandinSettings
from goldcrestpond.store.http_platform import HttpPlatform

from .child_process import ChildProcess, run_program

GROUP = "fuel"
SCHEMA = ["CREATE TABLE fuel_log (id BIGINT, vehicle TEXT, litres DOUBLE PRECISION)"]
_STANDIN = "goldcrestpond-standin"
_SLOT_LIMIT = 256
_CONNECTION_LIMIT = 800  # high enough that a proxy's share never limits a benchmark


@dataclass(frozen=True, slots=True)
class BenchSite:
    """Processes and addresses of a running site.

    Attributes
    ----------
    databases : ChildProcess
        Process of the database group.
    direct : Address
        Address of the primary.
    proxy : ChildProcess
        Process of the proxy.
    through : Address
        Address at which the proxy accepts callers.
    """

    databases: ChildProcess
    direct: Address
    proxy: ChildProcess
    through: Address


@contextmanager
def run_bench_site(root: str = "", profile: str = "") -> Iterator[BenchSite]:
    """Run a site until the context ends.

    Parameters
    ----------
    root : str, default=""
        Source tree from which the proxy runs; empty for this one.
    profile : str, default=""
        File to which a profile of the proxy is written; empty for no profile.
    """
    group_settings = DatabaseGroupSettings(
        [StandinDatabase(f"{GROUP}-{number}") for number in (1, 2, 3)],
        schema=SCHEMA,
        slot_limit=_SLOT_LIMIT,
        connection_limit=_CONNECTION_LIMIT,
    )
    with ExitStack() as stack:
        platform = stack.enter_context(
            run_program(
                "goldcrestpond-standin", ["platform"], PlatformStandinSettings()
            )
        )
        databases = stack.enter_context(
            run_program("goldcrestpond-standin", ["database"], group_settings)
        )
        members = [word.split("=") for word in databases.ready]
        anyio.run(_write_resources, platform.ready[0], members)
        # Only settings that older versions of the proxy accept too: ``root`` may
        # name an older source tree.
        settings = {
            "instance": "proxy-1",
            "listen": "127.0.0.1:0",
            "platform": platform.ready[0],
            "log_level": "ERROR",
        }
        proxy = stack.enter_context(
            run_program("goldcrestpond-proxy", [], settings, root, profile)
        )
        direct = parse_address(members[0][1])
        yield BenchSite(databases, direct, proxy, parse_address(proxy.ready[0]))


async def _write_resources(platform: str, members: list[list[str]]) -> None:
    group = DatabaseGroupSpec(
        databases=[DatabaseSpec(name, address) for name, address in members],
        user="goldcrestpond",
        slot_limit=_SLOT_LIMIT,
        connection_limit=_CONNECTION_LIMIT,
    )
    route = RouteSpec(GROUP, GROUP)
    async with HttpPlatform(parse_address(platform)) as client:
        for kind, spec in ((Kind.DATABASE_GROUP, group), (Kind.ROUTE, route)):
            await client.put(resource_key(kind, GROUP), encode_resource_row(spec, 1), 0)
