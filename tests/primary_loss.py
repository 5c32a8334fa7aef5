"""Waits until a monitor knows that its primary has failed."""

import anyio

FAILOVER_LIMIT_S = 2  # a failover ends within this time, and the detection before it


async def wait_until_lost(monitor):
    with anyio.fail_after(FAILOVER_LIMIT_S):
        while monitor.primary is not None:
            await anyio.sleep(0.005)
