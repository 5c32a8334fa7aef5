"""Instances over a store whose open connections go silent."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.soak.fault_proxy import FaultProxy

from ..line_world import line_world

# After so long without a disturbance an instance is held to serve by each change.
CALM_S = 4.0


# Guards against: CONFIG, a change that is confirmed right after all open connections
# to the store went silent is not in force once the instance counts as undisturbed.
def test_change_behind_silent_connections_is_in_force_when_calm():
    async def body(world, tasks):
        proxy = FaultProxy(world.address)
        world.address = await proxy.start(tasks)
        instance = await world.start_instance()
        await anyio.sleep(0.5)
        await _configured(world, instance)
        await anyio.sleep(0.1)  # the next call, with a whole wait before it, is sent
        proxy.silence_connections()
        elapsed_s = await _configured(world, instance)
        assert_that(elapsed_s, LessThan(CALM_S))
        assert_that(instance.directory.table.version, Equals(world.version))

    async def run():
        with anyio.fail_after(30):
            async with (
                line_world(instance_count=0) as world,
                anyio.create_task_group() as tasks,
            ):
                await body(world, tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run)


async def _configured(world, instance):
    """Make a change; return after how many seconds it is in force."""
    clock = SystemClock()
    began_at = clock.now()
    world.configure()
    while instance.directory.table.version < world.version:
        await anyio.sleep(0.01)
    return (clock.now() - began_at).total_seconds()
