"""A platform, a database group and a proxy, each as a process of its own."""

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
_SLOTS = 256
_CONNECTIONS = 800  # so that a proxy's share bounds nothing here


@dataclass(frozen=True, slots=True)
class BenchSite:
    """Processes of a site.

    Attributes
    ----------
    databases : ChildProcess
        The database group.
    direct : Address
        Its primary.
    proxy : ChildProcess
        The proxy.
    through : Address
        Where the proxy accepts callers.
    """

    databases: ChildProcess
    direct: Address
    proxy: ChildProcess
    through: Address


@contextmanager
def run_bench_site(root: str = "", profile: str = "") -> Iterator[BenchSite]:
    """Run a site.

    Parameters
    ----------
    root : str, default=""
        Source tree of its proxy; empty for this one.
    profile : str, default=""
        File for a profile of its proxy; empty for none.
    """
    group_settings = DatabaseGroupSettings(
        [StandinDatabase(f"{GROUP}-{number}") for number in (1, 2, 3)],
        schema=SCHEMA,
        slot_limit=_SLOTS,
        connection_limit=_CONNECTIONS,
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
        # Only what every version of the proxy knows.
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
        slot_limit=_SLOTS,
        connection_limit=_CONNECTIONS,
    )
    route = RouteSpec(GROUP, GROUP)
    async with HttpPlatform(parse_address(platform)) as client:
        for kind, spec in ((Kind.DATABASE_GROUP, group), (Kind.ROUTE, route)):
            await client.put(resource_key(kind, GROUP), encode_resource_row(spec, 1), 0)
