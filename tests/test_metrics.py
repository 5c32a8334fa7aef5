"""Tests of the metrics that a proxy process sends to statsd."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import ContainsAll, MatchesRegex

from goldcrestpond.root.proxy import run_proxy
from goldcrestpond.settings.proxy_settings import ProxySettings

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

GAUGE_NAMES = {
    "callers",
    "groups",
    "groups_without_primary",
    "configuration_revision",
    "store_reachable",
    "live_instances",
    "peer_malformed",
}


async def receive_names(udp, expected_names):
    names = set()
    with anyio.fail_after(10):
        while not expected_names <= names:
            data, _ = await udp.receive()
            line = data.decode()
            assert_that(line, MatchesRegex(r"goldcrestpond\.m_1\.[\w.]+:-?[\d.]+\|"))
            names.add(line.partition(":")[0].removeprefix("goldcrestpond.m_1."))
    return names


async def test_gauges_and_requests_reach_statsd():
    async with (
        await anyio.create_udp_socket(local_host="127.0.0.1") as udp,
        run_fuel_site(proxy_count=1) as site,
    ):
        host, port = udp.extra(anyio.abc.SocketAttribute.local_address)
        settings = ProxySettings(
            instance="m.1",
            listen="127.0.0.1:0",
            platform=str(site.platform.address),
            statsd=f"{host}:{port}",
            metrics_sample_rate=1.0,
        )
        async with run_proxy(settings) as proxy:
            await receive_names(udp, GAUGE_NAMES)
            await proxy.configuration.wait_revision(1)
            site.proxies[0] = proxy
            async with await connect_with_psycopg(site) as caller:
                await caller.execute("SELECT 1")
            names = await receive_names(udp, {"wire.request_ms", "wire.from_primary"})
            assert_that(names, ContainsAll(["wire.request_ms"]))
