"""Instances whose store is restored from an older copy."""

import base64
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, MatchesListwise, StartsWith

from goldcrestpond.serving.members import Members
from goldcrestpond.serving.row_store import StoredRow

from ..line_world import run_in_world


async def _restore_store(world, down_s=0.1, until_rewritten_s=0.3):
    """Stop the store, restore the last copy, then write the lost rows again."""
    world.platform.is_down = True
    await anyio.sleep(down_s)
    rows = world.platform.restore_snapshot()
    world.platform.is_down = False
    await anyio.sleep(until_rewritten_s)
    for (table, key), value in rows.items():
        world.platform.put(table, key, value)


async def _write_until_accepted(caller):
    answer = await caller.ask("WRITE a last")
    while answer[0].startswith("ERROR BUSY"):
        await anyio.sleep(0.05)
        answer = await caller.ask("WRITE a last")
    return answer[0]


def _listed_members(world):
    """Return the members that the rows in the store list."""
    members = Members()
    rows = [
        StoredRow(table, part, key, base64.b64decode(value), version)
        for (table, part, key), (value, version) in world.platform.rows.items()
        if table == "member" and value is not None
    ]
    members.replace(rows, timedelta(0), 0)
    return sorted(member.name for member in members.live(timedelta(0)))


def _count(world, event):
    return sum(log.events().count(event) for log in world.logs)


def test_older_configuration_of_a_copy_is_ignored():
    async def body(world):
        world.platform.save_snapshot()
        world.configure(names=("own",))
        await anyio.sleep(0.3)
        version = world.version
        table = world.instances[0].directory
        assert_that(table.table.version, Equals(version))
        await _restore_store(world, until_rewritten_s=1.0)
        assert_that(table.table.version, Equals(version))
        world.configure(names=("current",))
        with anyio.fail_after(3):
            while table.table.version == version:
                await anyio.sleep(0.02)
        assert_that(set(table.table.routes), Equals({"current"}))

    run_in_world(body, 1, limit_s=40)


def test_two_restores_replace_no_leader_and_lose_no_member():
    async def body(world):
        world.platform.save_snapshot()
        await anyio.sleep(1.5)  # members write their rows after the copy
        async with world.caller("current") as caller:
            for _ in range(2):
                await _restore_store(world)
                for _ in range(10):
                    answer = await caller.ask("WRITE a 1")
                    assert_that(answer[0], StartsWith("COMPLETE r"))
        await anyio.sleep(2)
        assert_that(world.platform.promotions, Equals([]))
        counts = {i.directory.member_count for i in world.instances}
        assert_that(counts, Equals({3}))
        assert_that(_listed_members(world), Equals(["i1", "i2", "i3"]))
        assert_that(_count(world, "store came back from a copy"), Equals(6))

    run_in_world(body, 3, limit_s=40)


@pytest.mark.parametrize("restore_delay_s", [0.0, 0.7, 1.2])
def test_leader_that_crashes_around_a_restore_is_replaced_once(restore_delay_s):
    """Restore at the crash, during suspicion and claim, or during the promotion."""

    async def body(world):
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 0")
            world.platform.save_snapshot()
            await world.servers.crash("d1")
            async with anyio.create_task_group() as tasks:
                await anyio.sleep(restore_delay_s)
                tasks.start_soon(_restore_store, world)
                with anyio.fail_after(15):
                    assert_that(
                        await _write_until_accepted(caller), StartsWith("COMPLETE")
                    )
        assert_that(world.group.lost_acknowledged, Equals([]))
        led = {database for _, database, _ in world.platform.promotions}
        assert_that(led, HasLength(1))

    run_in_world(body, 3, limit_s=40)


def test_tokens_rise_over_a_return():
    """The second promotion is claimed in a store that has lost the first claim."""

    async def body(world):
        world.platform.save_snapshot()
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 0")
            await world.servers.crash("d1")
            assert_that(await _write_until_accepted(caller), StartsWith("COMPLETE"))
            await _restore_store(world)
            # Restart d1 with its log, so that the logs of all databases can be read.
            world.group.databases["d1"].is_running = True
            world.group.replicate()
            world.register()
            second = world.group.primary.database_id
            await world.servers.crash(second)
            assert_that(await _write_until_accepted(caller), StartsWith("COMPLETE"))
        assert_that(world.group.lost_acknowledged, Equals([]))
        tokens = [token for _, _, token in world.platform.promotions]
        assert_that(tokens, Equals(sorted(set(tokens))))
        eras = [token >> 40 for token in tokens]
        assert_that(eras, MatchesListwise([Equals(1), Equals(2)]))

    run_in_world(body, 3, limit_s=40)


def test_instance_started_during_a_restore_takes_part_in_the_failover():
    """The new process knows neither of the crashed leader nor of the restore."""

    async def body(world):
        async with world.caller("own", world.instances[2]) as caller:
            await caller.ask("WRITE a 0")
            world.platform.save_snapshot()
            await world.servers.crash("d1")
            await anyio.sleep(0.8)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_restore_store, world)
                await anyio.sleep(0.05)
                late = await world.start_instance("i4")
                async with world.caller("own", late) as other:
                    assert_that(
                        await _write_until_accepted(other), StartsWith("COMPLETE")
                    )
                assert_that(await _write_until_accepted(caller), StartsWith("COMPLETE"))
        assert_that(world.group.lost_acknowledged, Equals([]))
        led = {database for _, database, _ in world.platform.promotions}
        assert_that(led, HasLength(1))

    run_in_world(body, 3, limit_s=40)
