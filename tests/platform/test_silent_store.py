"""Instances whose open connections to the store stop delivering bytes."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.soak.fault_proxy import FaultProxy

from ..line_world import line_world

# An instance must serve by a change this long after the last network fault.
MAX_CHANGE_TIME_S = 4.0


# Guards against: CONFIG, a change that is written just after all open connections to
# the store went silent is not in force once the fault is MAX_CHANGE_TIME_S ago.
def test_change_behind_silent_connections_is_in_force_when_calm():
    async def body(world, tasks):
        proxy = FaultProxy(world.address)
        world.address = await proxy.start(tasks)
        instance = await world.start_instance()
        await anyio.sleep(0.5)
        await _measure_change_time(world, instance)
        await anyio.sleep(0.1)  # the next feed request is sent and waits for a change
        proxy.silence_connections()
        elapsed_s = await _measure_change_time(world, instance)
        assert_that(elapsed_s, LessThan(MAX_CHANGE_TIME_S))
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


async def _measure_change_time(world, instance):
    """Change the configuration; return the seconds until it is in force."""
    clock = SystemClock()
    started_at = clock.now()
    world.configure()
    while instance.directory.table.version < world.version:
        await anyio.sleep(0.01)
    return (clock.now() - started_at).total_seconds()
