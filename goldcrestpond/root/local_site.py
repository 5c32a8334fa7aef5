"""Runs a whole site in one process, with sockets on loopback."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from ..api.api_settings import ApiSettings
from ..clock.system_clock import SystemClock
from ..configuration.database_group_spec import DatabaseGroupSpec
from ..configuration.database_spec import DatabaseSpec
from ..configuration.keys import resource_key
from ..configuration.kind import Kind
from ..configuration.resource import Spec
from ..configuration.route_spec import RouteSpec
from ..configuration.stored_resource import encode_resource_row
from ..settings.address import Address
from ..settings.proxy_settings import ProxySettings
from ..standin.database_group import DatabaseGroup, run_database_group
from ..standin.database_group_settings import DatabaseGroupSettings, StandinDatabase
from ..standin.platform_standin import PlatformStandin, run_platform
from ..store.http_platform import HttpPlatform
from ..store.instance_entry import InstanceEntry
from .api import run_api
from .local_site_settings import LocalSiteSettings
from .proxy import Proxy, run_proxy

LOOPBACK = "127.0.0.1"
ENDPOINT_USER = "goldcrestpond"


@dataclass(frozen=True, slots=True)
class LocalSite:
    """A running platform, database group, proxies and resource API.

    Attributes
    ----------
    platform : PlatformStandin
        Stand-in of the platform.
    group : DatabaseGroup
        Stand-in of the database group.
    proxies : list of Proxy
        The proxies.
    api : Address or None
        Address of the resource API, if it runs.
    """

    platform: PlatformStandin
    group: DatabaseGroup
    proxies: list[Proxy]
    api: Address | None = None


@asynccontextmanager
async def run_local_site(settings: LocalSiteSettings) -> AsyncIterator[LocalSite]:
    """Run a site while the context is open.

    The configuration is in force on all proxies when the context opens.
    """
    clock = SystemClock()
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(
            run_platform(Address(LOOPBACK, 0), clock)
        )
        group = await stack.enter_async_context(
            run_database_group(_make_group_settings(settings), clock)
        )
        revision = await _write_resources(settings, platform, group)
        proxies: list[Proxy] = []
        for i in range(settings.proxy_count):
            proxy = run_proxy(
                _make_proxy_settings(settings, platform, i), seed=settings.seed + i
            )
            proxies.append(await stack.enter_async_context(proxy))
            platform.set_instances(
                [_make_instance_entry(started) for started in proxies]
            )
        for proxy in proxies:
            await proxy.configuration.wait_revision(revision)
        api = None
        if settings.api_port is not None:
            api_settings = ApiSettings(
                "api-1", f"{LOOPBACK}:{settings.api_port}", str(platform.address)
            )
            api = await stack.enter_async_context(run_api(api_settings, clock))
        yield LocalSite(platform, group, proxies, api)


def _make_instance_entry(proxy: Proxy) -> InstanceEntry:
    return InstanceEntry(proxy.peers.name, str(proxy.peers.address))


def _make_group_settings(settings: LocalSiteSettings) -> DatabaseGroupSettings:
    return DatabaseGroupSettings(
        databases=[
            StandinDatabase(f"{settings.group}-{number}")
            for number in range(1, settings.database_count + 1)
        ],
        schema=settings.schema,
        slot_limit=settings.slot_limit,
        connection_limit=settings.connection_limit,
        connection_delay_ms=settings.connection_delay_ms,
        statement_delay_ms=settings.statement_delay_ms,
        receive_delay_ms=settings.receive_delay_ms,
        replay_lag_ms=settings.replay_lag_ms,
        password=settings.endpoint_password,
    )


def _make_proxy_settings(
    settings: LocalSiteSettings, platform: PlatformStandin, index: int
) -> ProxySettings:
    port = settings.caller_port + index if settings.caller_port else 0
    name = f"proxy-{index + 1}"
    events_file = ""
    if settings.event_folder:
        events_file = f"{settings.event_folder}/{name}.jsonl"
    return ProxySettings(
        instance=name,
        listen=f"{LOOPBACK}:{port}",
        platform=str(platform.address),
        peer_listen=f"{LOOPBACK}:0",
        events_file=events_file,
        users=settings.users,
        tls_certificate_file=settings.tls_certificate_file,
        idle_transaction_timeout_ms=settings.idle_transaction_timeout_ms,
        shutdown_timeout_ms=settings.shutdown_timeout_ms,
    )


async def _write_resources(
    settings: LocalSiteSettings, platform: PlatformStandin, group: DatabaseGroup
) -> int:
    spec = DatabaseGroupSpec(
        databases=[
            DatabaseSpec(server.name, str(server.address)) for server in group.databases
        ],
        user=ENDPOINT_USER,
        password=settings.endpoint_password,
        slot_limit=settings.slot_limit,
        connection_limit=settings.connection_limit,
    )
    routes = settings.routes or {
        settings.group: RouteSpec(settings.group, settings.group)
    }
    async with HttpPlatform(platform.address) as client:
        await _create_resource(client, Kind.DATABASE_GROUP, settings.group, spec)
        for name, policy in list(settings.read_policies.items()):
            await _create_resource(client, Kind.READ_POLICY, name, policy)
        revision = 0
        for name, route in routes.items():
            revision = await _create_resource(client, Kind.ROUTE, name, route)
        return revision


async def _create_resource(
    client: HttpPlatform, kind: Kind, name: str, spec: Spec
) -> int:
    key = resource_key(kind, name)
    return await client.put(key, encode_resource_row(spec, 1), expected_revision=0)
