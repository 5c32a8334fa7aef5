"""Several proxies of a site: configuration changes, peers and store outages."""

from dataclasses import replace
from datetime import timedelta

import anyio
import httpx
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.api.resource_client import ResourceClient
from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.read_policy_spec import ReadPolicySpec
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.root.proxy import run_proxy
from goldcrestpond.settings.proxy_settings import ProxySettings
from goldcrestpond.store.http_platform import HttpPlatform

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

_TIMEOUT_S = 20
_TIMEOUT = timedelta(seconds=_TIMEOUT_S)
_ROUTE = {"database": "later", "group": "fuel"}


async def _wait_for(condition):
    with anyio.fail_after(_TIMEOUT_S):
        while not await condition():
            await anyio.sleep(0.05)


async def test_api_reports_when_a_change_is_in_force_on_all_proxies():
    async with run_fuel_site(proxy_count=3, api_port=0) as site:
        url = f"http://{site.api}/v1/Route"
        async with httpx.AsyncClient(trust_env=False) as client:
            body = {"name": "later", "spec": _ROUTE}
            created = await client.post(url, json=body)
            assert_that(created.status_code, Equals(201))

            async def is_in_force():
                read = await client.get(f"{url}/later")
                status = read.json()["status"]
                counts = (status["in_force_instances"], status["live_instances"])
                return counts == (3, 3)

            await _wait_for(is_in_force)
        for proxy in site.proxies:
            assert_that(proxy.configuration.current.routes, Contains("later"))


async def test_proxy_started_during_a_store_outage_gets_the_configuration_from_a_peer():
    async with run_fuel_site(proxy_count=2) as site:

        async def all_members_known():
            return all(proxy.peers.member_count == 2 for proxy in site.proxies)

        await _wait_for(all_members_known)
        site.platform.faults.down = True
        settings = ProxySettings(
            instance="proxy-late",
            listen="127.0.0.1:0",
            platform=str(site.platform.address),
            peer_listen="127.0.0.1:0",
            peer_seeds=[str(site.proxies[1].peers.address)],
        )
        async with run_proxy(settings) as late_proxy:

            async def is_confirmed():
                return late_proxy.configuration.is_confirmed

            await _wait_for(is_confirmed)
            revision = site.proxies[0].configuration.current.revision
            assert_that(late_proxy.configuration.current.revision, Equals(revision))


class _JumpingClock(SystemClock):
    """Clock that a test sets forward, as if the process had been paused."""

    __slots__ = ("offset",)

    def __init__(self):
        self.offset = timedelta(0)

    def now(self):
        return super().now() + self.offset


# Guards against: a proxy that resumes from a pause and serves callers with a
# configuration that it has not confirmed since.
async def test_paused_proxy_refuses_statements_until_it_confirms_its_configuration():
    clock = _JumpingClock()
    async with run_fuel_site(proxy_count=1) as site:
        settings = ProxySettings(
            instance="sleeper",
            listen="127.0.0.1:0",
            platform=str(site.platform.address),
        )
        async with run_proxy(settings, clock) as resumed_proxy:
            await resumed_proxy.configuration.wait_confirmed(clock.now() + _TIMEOUT)
            paused_site = replace(site, proxies=[resumed_proxy])
            connection = await connect_with_psycopg(paused_site)
            await connection.execute("SELECT 1")
            site.platform.faults.down = True
            clock.offset = timedelta(hours=1)
            with pytest.raises(psycopg.Error) as caught:
                await connection.execute("SELECT 1")
            assert_that(str(caught.value), Contains("GP501"))
            site.platform.faults.down = False
            await connection.execute("SELECT 1")
            await connection.close()


async def test_change_reaches_all_proxies_when_the_store_is_slow():
    async with run_fuel_site(proxy_count=2) as site:
        site.platform.faults.delay_ms = 1200
        async with HttpPlatform(site.platform.address, _TIMEOUT) as platform:
            value = encode_resource_row(ReadPolicySpec(7), 1)
            key = resource_key(Kind.READ_POLICY, "slow")
            revision = await platform.put(key, value, 0)
        with anyio.fail_after(_TIMEOUT_S):
            for proxy in site.proxies:
                await proxy.configuration.wait_revision(revision)


async def test_any_proxy_can_serve_the_resource_api():
    async with run_fuel_site(proxy_count=1) as site:
        settings = ProxySettings(
            instance="with-api",
            listen="127.0.0.1:0",
            platform=str(site.platform.address),
            peer_listen="127.0.0.1:0",
            peer_seeds=[str(site.proxies[0].peers.address)],
            api_listen="127.0.0.1:0",
        )
        async with run_proxy(settings) as proxy:
            async with ResourceClient(
                f"http://{proxy.api}", "", SystemClock(), _TIMEOUT
            ) as client:
                await client.create(Kind.ROUTE, "later", _ROUTE)
                deadline = SystemClock().now() + _TIMEOUT
                await client.wait_until_in_force(Kind.ROUTE, "later", deadline)
        routes = site.proxies[0].configuration.current.routes
        assert_that(routes, Contains("later"))
