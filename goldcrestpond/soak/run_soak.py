"""Runs a soak and returns its report."""

import random
import tempfile
from collections import Counter
from datetime import timedelta
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from ..api.http_server import serve_http
from ..clock.system_clock import SystemClock
from ..settings.address import Address
from .fault_proxy import LOOPBACK
from .promise_checker import PromiseChecker
from .soak_caller import SoakCaller
from .soak_faults import FAULTS
from .soak_site import SoakSite

CALLERS_PER_INSTANCE = 4
START_TIMEOUT_S = 20.0
# Faults start within this fraction of the duration; the rest is for recovery.
FAULT_FRACTION = 0.7
MAX_RECOVERY = timedelta(seconds=12)
# Mean time between the starts of two faults; faults last longer, so they overlap.
FAULT_PAUSE_S = 1.0


class SoakReport(msgspec.Struct, frozen=True):
    """Result of a soak.

    Attributes
    ----------
    seed : int
        Seed of callers and faults.
    duration_s : float
        Duration of the load in seconds.
    processes : int
        Number of instances.
    findings : list of str
        Descriptions of broken guarantees; empty if there are none.
    outcomes : dict of str to int
        Number of answers by first word or error code, and of lost connections by
        exception name.
    faults : dict of str to int
        Number of faults by name.
    logs : str
        Folder with the logs, kept only if there are findings; otherwise empty.
    """

    seed: int
    duration_s: float
    processes: int
    findings: list[str]
    outcomes: dict[str, int]
    faults: dict[str, int]
    logs: str


async def run_soak(seed: int, duration_s: float, processes: int) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Seed of callers and faults.
    duration_s : float
        Duration of the load in seconds.
    processes : int
        Number of instances.
    """
    folder = Path(tempfile.mkdtemp(prefix="goldcrestpond-soak-"))
    rng = random.Random(seed)
    site = SoakSite(folder)
    checker = PromiseChecker()
    faults: Counter[str] = Counter()
    try:
        async with anyio.create_task_group() as tasks:
            application = site.platform.application()
            async with serve_http(application, Address(LOOPBACK, 0)) as store:
                await site.start(tasks, store, processes)
                await _wait_until_started(site)
                await _run_load(site, checker, rng, duration_s, faults)
                site.kill_instances()
                tasks.cancel_scope.cancel()
                site.platform.is_down = True  # pending requests of feeds end at once
    finally:
        site.kill_instances()
    _check_logs(site, checker)
    logs = str(folder) if checker.findings else ""
    if not checker.findings:
        _remove_folder(folder)
    return SoakReport(
        seed,
        duration_s,
        processes,
        checker.findings,
        dict(checker.counts),
        dict(faults),
        logs,
    )


async def _wait_until_started(site: SoakSite) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        for instance in site.instances:
            address = instance.address
            while True:
                try:
                    stream = await anyio.connect_tcp(address.host, address.port)
                except OSError:
                    await anyio.sleep(0.05)
                    continue
                await anyio.aclose_forcefully(stream)
                break


async def _run_load(
    site: SoakSite,
    checker: PromiseChecker,
    rng: random.Random,
    duration_s: float,
    faults: Counter,
) -> None:
    clock = SystemClock()
    count = CALLERS_PER_INSTANCE * len(site.instances)
    callers = [
        SoakCaller(number, site, checker, clock, random.Random(rng.random()))
        for number in range(count)
    ]
    async with anyio.create_task_group() as caller_tasks:
        for caller in callers:
            caller_tasks.start_soon(caller.run)
        async with anyio.create_task_group() as fault_tasks:
            fault_tasks.start_soon(
                _check_versions, site, checker, duration_s * FAULT_FRACTION
            )
            with anyio.move_on_after(duration_s * FAULT_FRACTION):
                await _start_random_faults(site, rng, fault_tasks, faults)
        await anyio.sleep(duration_s * (1 - FAULT_FRACTION))
        _check_recovery(callers, checker, clock, duration_s)
        for caller in callers:
            caller.is_ending = True


async def _start_random_faults(
    site: SoakSite, rng: random.Random, fault_tasks: TaskGroup, faults: Counter
) -> None:
    while True:
        await anyio.sleep(rng.expovariate(1 / FAULT_PAUSE_S))
        fault = rng.choice(FAULTS)
        faults[fault.__name__] += 1
        fault_tasks.start_soon(fault, site, random.Random(rng.random()))


async def _check_versions(
    site: SoakSite, checker: PromiseChecker, duration_s: float
) -> None:
    """Check repeatedly that the configuration version of no process goes back."""
    last_seen: dict[str, tuple[int, int]] = {}
    with anyio.move_on_after(duration_s):
        while True:
            for instance in site.instances:
                process_and_version = await _read_version(
                    instance.settings["metrics_listen"]
                )
                if process_and_version is None:
                    continue
                process, version = process_and_version
                previous_process, previous = last_seen.get(
                    instance.name, process_and_version
                )
                if process == previous_process:
                    checker.check_version(instance.name, previous, version)
                last_seen[instance.name] = process_and_version
            await anyio.sleep(0.5)


async def _read_version(address_text: str) -> tuple[int, int] | None:
    host, _, port = address_text.rpartition(":")
    text = b""
    try:
        with anyio.fail_after(1):
            stream = await anyio.connect_tcp(host, int(port))
            request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            await stream.send(request.encode())
            while True:
                text += await stream.receive()
    except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        pass  # the end of the answer, or a process that is not running
    metrics = dict(
        line.rsplit(" ", 1) for line in text.decode().splitlines() if " " in line
    )
    try:
        process = int(metrics["goldcrestpond_process"])
        return process, int(metrics["goldcrestpond_configuration_version"])
    except KeyError:
        return None


def _check_recovery(
    callers: list[SoakCaller],
    checker: PromiseChecker,
    clock: SystemClock,
    duration_s: float,
) -> None:
    limit = min(MAX_RECOVERY, timedelta(seconds=duration_s * (1 - FAULT_FRACTION)))
    now = clock.now()
    stuck = [caller.item for caller in callers if now - caller.last_success_at > limit]
    if stuck:
        checker.findings.append(f"recovery: no success for {limit} at {stuck}")


def _check_logs(site: SoakSite, checker: PromiseChecker) -> None:
    leader = site.group.primary
    numbers: dict[str, list[int]] = {}
    for entry in leader.log:
        for item, data in entry.writes:
            numbers.setdefault(item, []).append(int(data))
    for item, logged_numbers in numbers.items():
        checker.check_log(item, logged_numbers)
        for number, count in Counter(logged_numbers).items():
            if count > 1:
                checker.findings.append(f"doubled: {item} holds {number} {count} times")
    runs = Counter(
        request for _, request, kind in site.group.executions if kind == "WRITE"
    )
    checker.check_executions(runs)
    for entry in site.group.lost_acknowledged:
        checker.findings.append(f"lost by a promotion: {entry.position}")


def _remove_folder(folder: Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()
