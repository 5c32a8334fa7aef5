"""Updates of a process's configuration over real sockets, with outages of the store."""

import random
from datetime import timedelta

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.keys import resource_key
from goldcrestpond.configuration.kind import Kind
from goldcrestpond.configuration.read_policy_spec import ReadPolicySpec
from goldcrestpond.configuration.stored_resource import encode_resource_row
from goldcrestpond.settings.address import Address
from goldcrestpond.standin.platform_standin import run_platform
from goldcrestpond.store.configuration_source import ConfigurationSource
from goldcrestpond.store.http_platform import HttpPlatform

_LOOPBACK = Address("127.0.0.1", 0)
_CLOCK = SystemClock()


def run(scenario):
    """Run a scenario with a platform stand-in, a client and one proxy's source."""

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
    value = encode_resource_row(ReadPolicySpec(max_age_ms), 1)
    return platform.put(resource_key(Kind.READ_POLICY, name), value, expected_revision)


def test_subscriber_receives_each_change_once_and_in_order():
    async def scenario(standin, platform, source):
        revisions = []
        source.subscribe(lambda configuration: revisions.append(configuration.revision))
        revision = await put_policy(platform, "a", 1)
        configuration = await source.wait_revision(revision)
        assert_that(configuration.read_policies, Equals({"a": ReadPolicySpec(1)}))
        key = resource_key(Kind.READ_POLICY, "a")
        deletion = await platform.delete(key, revision)
        assert_that((await source.wait_revision(deletion)).read_policies, Equals({}))
        assert_that(revisions, Equals([revision, deletion]))

    run(scenario)


def test_last_configuration_stays_in_force_during_an_outage():
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


# Guards against: reads that a silent store never answered delay the detection that it
# answers again.
def test_configuration_updates_after_a_silent_store_answers_again():
    async def scenario(standin, platform, source):
        await source.wait_revision(await put_policy(platform, "a", 1))
        standin.faults.silent = True
        await anyio.sleep(0.6)
        standin.faults.silent = False
        await source.wait_revision(await put_policy(platform, "b", 2))

    run(scenario)


def test_undecodable_rows_are_left_out_and_the_others_applied():
    async def scenario(standin, platform, source):
        await platform.put(resource_key(Kind.ROUTE, "x"), b'{"spec":{"new":1}}', 0)
        await platform.put("configuration/resource/Unknown/y", b"{}", 0)
        revision = await put_policy(platform, "a", 1)
        configuration = await source.wait_revision(revision)
        assert_that(list(configuration.read_policies), Equals(["a"]))
        assert_that(configuration.routes, Equals({}))

    run(scenario)
