"""Tests that configuration changes reach open sessions and interrupt no work."""

import anyio
import msgspec
import psycopg
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength

from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.read_policy_spec import ReadPolicySpec
from goldcrestpond.configuration.route_spec import RouteSpec
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.store.http_platform import HttpPlatform

from .site import connect_with_psycopg, run_fuel_site

pytestmark = pytest.mark.anyio

INSERT = "INSERT INTO fuel_log (id, bus, litres) VALUES (%s, 'x', 1)"


@pytest.fixture
async def site():
    async with run_fuel_site(proxy_count=1) as running:
        yield running


async def write(site, kind, name, spec):
    """Write a resource and wait until the proxy has it in force."""
    async with HttpPlatform(site.platform.address) as platform:
        key = resource_key(kind, name)
        row = await platform.read(key)
        revision = 0 if row is None else row.revision
        if spec is None:
            written = await platform.delete(key, revision)
        else:
            written = await platform.put(key, encode_resource_row(spec, 2), revision)
    with anyio.fail_after(10):
        await site.proxies[0].configuration.wait_revision(written)


def group_spec(site):
    return site.proxies[0].configuration.current.groups["fuel"]


async def test_open_session_uses_a_changed_route(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        await write(site, Kind.ROUTE, "fuel", RouteSpec("fuel", "fuel", read_only=True))
        with pytest.raises(psycopg.errors.ReadOnlySqlTransaction):
            await caller.execute(INSERT, (2,))
        await caller.execute("SET default_transaction_read_only = off")
        await caller.execute(INSERT, (3,))


async def test_open_session_uses_a_new_read_policy(site):
    route = RouteSpec("fuel", "fuel", read_only=True, read_policy="old")
    await write(site, Kind.READ_POLICY, "old", ReadPolicySpec(max_age_ms=60_000))
    async with await connect_with_psycopg(site) as caller:
        await write(site, Kind.ROUTE, "fuel", route)
        await caller.execute("SELECT 1")
        cursor = await caller.execute("SHOW goldcrestpond.max_age_ms")
        assert_that(await cursor.fetchone(), Equals(("60000",)))


async def test_session_of_a_deleted_route_is_refused_until_the_route_exists_again(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute("SELECT 1")
        await write(site, Kind.ROUTE, "fuel", None)
        for _ in range(2):
            with pytest.raises(psycopg.Error) as caught:
                await caller.execute("SELECT 1")
            assert_that(str(caught.value), Contains("GP102"))
        await write(site, Kind.ROUTE, "fuel", RouteSpec("fuel", "fuel"))
        await caller.execute("SELECT 1")


async def test_change_of_a_group_keeps_connections_and_open_transactions(site):
    async with (
        await connect_with_psycopg(site, autocommit=False) as holder,
        await connect_with_psycopg(site) as caller,
    ):
        await holder.execute(INSERT, (1,))
        await caller.execute("SELECT 1")
        opened = len(site.group.primary().connections)
        spec = msgspec.structs.replace(group_spec(site), slot_limit=3)
        await write(site, Kind.DATABASE_GROUP, "fuel", spec)
        await caller.execute(INSERT, (2,))
        await holder.commit()
        cursor = await caller.execute("SELECT id FROM fuel_log")
        assert_that(await cursor.fetchall(), HasLength(2))
        # The new group monitor opens one more connection to poll the status.
        assert_that(len(site.group.primary().connections) <= opened + 1, Equals(True))


async def test_failover_works_after_a_change_of_the_group(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        spec = msgspec.structs.replace(group_spec(site), slot_limit=3)
        await write(site, Kind.DATABASE_GROUP, "fuel", spec)
        await caller.execute(INSERT, (2,))
        previous_term = site.group.primary().database.term
        site.group.kill(site.group.primary().name)
        with anyio.fail_after(20):
            while True:
                try:
                    await caller.execute(INSERT, (3,))
                    break
                except psycopg.Error:
                    if caller.closed:
                        caller = await connect_with_psycopg(site)
                    await anyio.sleep(0.02)
        assert_that(site.group.primary().database.term, GreaterThan(previous_term))


async def test_database_removed_from_the_group_is_not_used(site):
    async with await connect_with_psycopg(site) as caller:
        await caller.execute(INSERT, (1,))
        primary_name = site.group.primary().name
        removed = next(s for s in site.group.databases if s.name != primary_name)
        spec = group_spec(site)
        databases = [d for d in spec.databases if d.name != removed.name]
        changed = msgspec.structs.replace(spec, databases=databases)
        await write(site, Kind.DATABASE_GROUP, "fuel", changed)
        await caller.execute(INSERT, (2,))
        last_statement_at = removed.last_statement_at
        await caller.execute("SET default_transaction_read_only = on")
        for _ in range(5):
            await caller.execute("SELECT count(*) FROM fuel_log")
        assert_that(removed.last_statement_at, Equals(last_statement_at))
