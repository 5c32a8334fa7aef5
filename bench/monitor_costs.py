"""Measures the cost of monitoring database groups.

``python -m bench.monitor_costs`` prints one JSON line. Many monitors in this process
watch one database group, which runs in another process. The line gives the processor
time per monitored group, while the groups are idle and while they are in use, and the
bytes of one poll.
"""

import random
import time
from contextlib import ExitStack
from datetime import timedelta

import anyio
import fire
import msgspec

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.configuration.database_group_spec import DatabaseGroupSpec
from goldcrestpond.configuration.database_spec import DatabaseSpec
from goldcrestpond.endpoint.endpoint_connection import EndpointConnection
from goldcrestpond.endpoint.group_monitor import GroupMonitor
from goldcrestpond.endpoint.login import Login
from goldcrestpond.endpoint.open_connection import open_connection
from goldcrestpond.events.recorder import EventRecorder
from goldcrestpond.frames import kinds
from goldcrestpond.frames.build import query_frame
from goldcrestpond.settings.address import parse_address
from goldcrestpond.standin.database_group_settings import (
    DatabaseGroupSettings,
    StandinDatabase,
)
from goldcrestpond.standin.platform_settings import PlatformStandinSettings
from goldcrestpond.store.http_platform import HttpPlatform

from .child_process import run_program

_STATUS = "SHOW group_status"
_SETTLE_S = 8  # a group counts as in use for some seconds after its start
_USE_INTERVAL_S = 0.1


def measure(groups: int = 40, duration_s: float = 10.0) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    groups : int
        Number of monitors that run at once.
    duration_s : float
        Duration of each of the two measurements, idle and in use.
    """
    limits = {"connection_limit": 4 * groups, "slot_limit": groups}
    settings = DatabaseGroupSettings([StandinDatabase(n) for n in "abc"], **limits)
    with ExitStack() as stack:
        platform = stack.enter_context(
            run_program(
                "goldcrestpond-standin", ["platform"], PlatformStandinSettings()
            )
        )
        databases = stack.enter_context(
            run_program("goldcrestpond-standin", ["database"], settings)
        )
        members = [word.split("=") for word in databases.ready]
        report = anyio.run(_measure, platform.ready[0], members, groups, duration_s)
    print(msgspec.json.encode(report).decode(), flush=True)


async def _measure(
    platform_address: str, members: list[list[str]], groups: int, duration_s: float
) -> dict[str, object]:
    clock = SystemClock()
    specs = [DatabaseSpec(name, address) for name, address in members]
    spec = DatabaseGroupSpec(databases=specs, user="proxy")
    async with (
        HttpPlatform(parse_address(platform_address)) as platform,
        anyio.create_task_group() as tasks,
    ):
        monitors = [
            GroupMonitor(
                f"group-{number}",
                spec,
                platform,
                open_connection,
                clock,
                random.Random(number),
                EventRecorder("bench", clock, lambda line: None),
                "bench",
            )
            for number in range(groups)
        ]
        for monitor in monitors:
            tasks.start_soon(monitor.run)
        await anyio.sleep(_SETTLE_S)
        idle_share = await _measure_core_share(duration_s)
        tasks.start_soon(_use_groups, monitors)
        await anyio.sleep(1)
        used_share = await _measure_core_share(duration_s)
        tasks.cancel_scope.cancel()
    return {
        "bench": "monitor_costs",
        "groups": groups,
        "idle_core_percent_per_group": round(100 * idle_share / groups, 4),
        "used_core_percent_per_group": round(100 * used_share / groups, 4),
        "poll_bytes": await _measure_poll_bytes(members[0][1]),
    }


async def _measure_core_share(duration_s: float) -> float:
    """Return the share of one core that this process uses."""
    started, cpu_s_at_start = time.monotonic(), time.process_time()
    await anyio.sleep(duration_s)
    return (time.process_time() - cpu_s_at_start) / (time.monotonic() - started)


async def _use_groups(monitors: list[GroupMonitor]) -> None:
    """Choose replicas often enough that all groups count as in use."""
    while True:
        for monitor in monitors:
            monitor.choose_replica(None, timedelta(seconds=1))
        await anyio.sleep(_USE_INTERVAL_S)


async def _measure_poll_bytes(address: str) -> int:
    """Return the bytes of one status query and its answer."""
    connection: EndpointConnection = await open_connection(
        parse_address(address), Login("proxy", "group-0")
    )
    request = query_frame(_STATUS)
    await connection.send(request)
    byte_count = len(request)
    kind = 0
    while kind != kinds.READY_FOR_QUERY:
        for frame in await connection.receive_frames():
            byte_count += len(frame.data)
            kind = frame.kind
    await connection.aclose()
    return byte_count


def main() -> None:
    """Run the command line."""
    fire.Fire(measure)


if __name__ == "__main__":
    main()
