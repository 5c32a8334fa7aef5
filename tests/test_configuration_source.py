"""The configuration of a process over real sockets: outages, slow store."""

import random
from datetime import timedelta

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.read_policy_spec import ReadPolicySpec
from goldcrestpond.configuration.stored_resource import encode_stored
from goldcrestpond.settings.address import Address
from goldcrestpond.standin.platform_standin import run_platform
from goldcrestpond.store.configuration_source import ConfigurationSource
from goldcrestpond.store.http_platform import HttpPlatform

_LOOPBACK = Address("127.0.0.1", 0)
_CLOCK = SystemClock()


def run(scenario):
    """Run a scenario with a stand-in, a writer and the source of one proxy."""

    async def main():
        async with (
            run_platform(_LOOPBACK, _CLOCK) as standin,
            HttpPlatform(standin.address, timedelta(seconds=2)) as platform,
            anyio.create_task_group() as tasks,
        ):
            source = ConfigurationSource(platform, _CLOCK, random.Random(1), "i1")
            await tasks.start(source.run)
            with anyio.fail_after(20):
                await scenario(standin, platform, source)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def put_policy(platform, name, max_age_ms, expected_revision=0):
    value = encode_stored(ReadPolicySpec(max_age_ms), 1)
    return platform.put(resource_key(Kind.READ_POLICY, name), value, expected_revision)


def test_changes_arrive_in_order_and_once():
    async def scenario(standin, platform, source):
        seen = []
        source.subscribe(lambda configuration: seen.append(configuration.revision))
        revision = await put_policy(platform, "a", 1)
        configuration = await source.wait_revision(revision)
        assert_that(configuration.read_policies, Equals({"a": ReadPolicySpec(1)}))
        key = resource_key(Kind.READ_POLICY, "a")
        deletion = await platform.delete(key, revision)
        assert_that((await source.wait_revision(deletion)).read_policies, Equals({}))
        assert_that(seen, Equals([revision, deletion]))

    run(scenario)


def test_outage_leaves_the_last_configuration_in_force():
    async def scenario(standin, platform, source):
        revision = await put_policy(platform, "a", 1)
        await source.wait_revision(revision)
        standin.faults.down = True
        while source.store_reachable:
            await anyio.sleep(0.05)
        assert_that(source.current.revision, Equals(revision))
        assert_that(source.is_confirmed, Is(True))
        standin.faults.down = False
        later = await put_policy(platform, "b", 2)
        assert_that(len((await source.wait_revision(later)).read_policies), Equals(2))

    run(scenario)


def test_silent_store_is_left_behind_when_it_answers_again():
    async def scenario(standin, platform, source):
        await source.wait_revision(await put_policy(platform, "a", 1))
        standin.faults.silent = True
        await anyio.sleep(0.6)
        standin.faults.silent = False
        await source.wait_revision(await put_policy(platform, "b", 2))

    run(scenario)


def test_a_row_of_another_version_leaves_the_others_in_force():
    async def scenario(standin, platform, source):
        await platform.put(resource_key(Kind.ROUTE, "x"), b'{"spec":{"new":1}}', 0)
        await platform.put("configuration/resource/Unknown/y", b"{}", 0)
        revision = await put_policy(platform, "a", 1)
        configuration = await source.wait_revision(revision)
        assert_that(list(configuration.read_policies), Equals(["a"]))
        assert_that(configuration.routes, Equals({}))

    run(scenario)
