"""Proxies of a site among themselves: configuration, in force, store outages."""

import anyio
import httpx
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.root.proxy import run_proxy
from goldcrestpond.settings.proxy_settings import ProxySettings

from .site import fuel_site

pytestmark = pytest.mark.anyio

_HANG_S = 20
_ROUTE = {"database": "later", "group": "fuel"}


async def _wait_for(condition):
    with anyio.fail_after(_HANG_S):
        while not await condition():
            await anyio.sleep(0.05)


async def test_api_tells_when_a_change_is_in_force_on_all_proxies():
    async with fuel_site(proxy_count=3, api_port=0) as site:
        url = f"http://{site.api}/v1/Route"
        async with httpx.AsyncClient(trust_env=False) as client:
            body = {"name": "later", "spec": _ROUTE}
            created = await client.post(url, json=body)
            assert_that(created.status_code, Equals(201))

            async def in_force():
                read = await client.get(f"{url}/later")
                status = read.json()["status"]
                counts = (status["in_force_instances"], status["live_instances"])
                return counts == (3, 3)

            await _wait_for(in_force)
        for proxy in site.proxies:
            assert_that(proxy.configuration.current.routes, Contains("later"))


async def test_proxy_that_starts_in_a_store_outage_takes_its_peers_configuration():
    async with fuel_site(proxy_count=2) as site:

        async def met():
            return all(proxy.peers.member_count == 2 for proxy in site.proxies)

        await _wait_for(met)
        site.platform.faults.down = True
        settings = ProxySettings(
            instance="proxy-late",
            listen="127.0.0.1:0",
            platform=str(site.platform.address),
            peer_listen="127.0.0.1:0",
            peer_seeds=[str(site.proxies[1].peers.address)],
        )
        async with run_proxy(settings) as late:

            async def confirmed():
                return late.configuration.is_confirmed

            await _wait_for(confirmed)
            revision = site.proxies[0].configuration.current.revision
            assert_that(late.configuration.current.revision, Equals(revision))
