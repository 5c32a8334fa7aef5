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
from .soak_faults import FAULTS, SINGLE_FAULTS
from .soak_plan import SINGLE_FAULT_PLAN, PlannedFault, SoakPlan, draw_series
from .soak_site import Loss, SoakSite

CALLERS_PER_INSTANCE = 4
START_TIMEOUT_S = 60.0
# Faults start within this fraction of the duration; the rest is for recovery.
FAULT_FRACTION = 0.7
MAX_RECOVERY = timedelta(seconds=12)
# Mean time between the starts of two single faults, which last longer and overlap.
FAULT_PAUSE_S = 1.0


class SoakReport(msgspec.Struct, frozen=True):
    """Result of a soak.

    Attributes
    ----------
    plan : str
        Name of the plan.
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
    promotions : int
        Number of promotions that took effect.
    lost : int
        Number of acknowledged commits that they lost.
    stuck : int
        Number of callers without a success at the end.
    logs : str
        Folder with the logs; empty if they were not kept.
    """

    plan: str
    seed: int
    duration_s: float
    processes: int
    findings: list[str]
    outcomes: dict[str, int]
    faults: dict[str, int]
    promotions: int
    lost: int
    stuck: int
    logs: str


async def run_soak(
    seed: int,
    duration_s: float,
    processes: int,
    plan: SoakPlan = SINGLE_FAULT_PLAN,
    logs: str = "",
) -> SoakReport:
    """Run one soak.

    Parameters
    ----------
    seed : int
        Seed of callers and faults.
    duration_s : float
        Duration of the load in seconds, unless the plan has one.
    processes : int
        Number of instances, unless the plan has one.
    plan : SoakPlan
        Services, the delays of their databases, and faults.
    logs : str
        Folder for the logs, which are kept then; empty for a temporary one, kept only
        if there are findings.

    Raises
    ------
    ValueError
        If the plan names a fault or a service that does not exist.
    """
    folder = Path(logs or tempfile.mkdtemp(prefix="goldcrestpond-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(seed)
    duration_s = plan.duration_s or duration_s
    processes = plan.processes or processes
    site = SoakSite(folder, plan, seed)
    _check_plan(site, plan)
    checker = PromiseChecker()
    site.record_loss = lambda loss: _record_loss(checker, loss)
    faults: Counter[str] = Counter()
    try:
        async with anyio.create_task_group() as tasks:
            application = site.platform.application()
            async with serve_http(application, Address(LOOPBACK, 0)) as store:
                await site.start(tasks, store, processes)
                await _wait_until_started(site)
                stuck = await _run_load(site, checker, rng, duration_s, faults, plan)
                site.kill_instances()
                tasks.cancel_scope.cancel()
                site.platform.is_down = True  # pending requests of feeds end at once
    finally:
        site.kill_instances()
    _check_logs(site, checker)
    if not (logs or checker.findings):
        _remove_folder(folder)
    return SoakReport(
        plan.name,
        seed,
        duration_s,
        processes,
        checker.findings,
        dict(checker.counts),
        dict(faults),
        sum(len(service.promotions) for service in site.services),
        sum(len(loss.promotion.lost) for loss in site.losses),
        stuck,
        str(folder) if logs or checker.findings else "",
    )


def _check_plan(site: SoakSite, plan: SoakPlan) -> None:
    services = {"", *(service.name for service in site.services)}
    for fault in plan.faults:
        if fault.kind not in FAULTS or fault.service not in services:
            raise ValueError(f"{plan.name}: unknown fault or service: {fault}")


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
    plan: SoakPlan,
) -> int:
    """Run callers and faults; return the number of callers that did not recover."""
    clock = SystemClock()
    count = CALLERS_PER_INSTANCE * len(site.instances)
    callers = [
        SoakCaller(
            number,
            site,
            checker,
            clock,
            random.Random(rng.random()),
            plan.report_share,
        )
        for number in range(count)
    ]
    async with anyio.create_task_group() as caller_tasks:
        for caller in callers:
            caller_tasks.start_soon(caller.run)
        async with anyio.create_task_group() as fault_tasks:
            fault_tasks.start_soon(
                _check_versions, site, checker, duration_s * FAULT_FRACTION
            )
            for fault in _list_faults(site, rng, duration_s, plan):
                fault_rng = random.Random(rng.random())
                limit_s = duration_s * FAULT_FRACTION
                fault_tasks.start_soon(
                    _cause_fault, site, fault_rng, fault, faults, limit_s
                )
            with anyio.move_on_after(duration_s * FAULT_FRACTION):
                if plan.random_faults == "single":
                    await _start_single_faults(site, rng, fault_tasks, faults)
                await anyio.sleep_forever()
        await anyio.sleep(duration_s * (1 - FAULT_FRACTION))
        share = plan.recovered_share
        stuck = _check_recovery(callers, checker, clock, duration_s, share)
        for caller in callers:
            caller.is_ending = True
    return stuck


def _list_faults(
    site: SoakSite, rng: random.Random, duration_s: float, plan: SoakPlan
) -> list[PlannedFault]:
    names = [service.name for service in site.services]
    drawn = draw_series(rng, duration_s * FAULT_FRACTION, names)
    return [*plan.faults, *(drawn if plan.random_faults == "series" else ())]


async def _cause_fault(
    site: SoakSite,
    rng: random.Random,
    fault: PlannedFault,
    faults: Counter,
    limit_s: float,
) -> None:
    await anyio.sleep(fault.at_s)
    if fault.after_order_s is not None:
        with anyio.move_on_after(limit_s - fault.at_s) as scope:
            await site.wait_for_order(fault.service)
        if scope.cancelled_caught:
            return
        await anyio.sleep(fault.after_order_s)
    faults[fault.kind] += 1
    await FAULTS[fault.kind](site, rng, fault)


async def _start_single_faults(
    site: SoakSite, rng: random.Random, fault_tasks: TaskGroup, faults: Counter
) -> None:
    while True:
        await anyio.sleep(rng.expovariate(1 / FAULT_PAUSE_S))
        fault = rng.choice(SINGLE_FAULTS)
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
    recovered_share: float,
) -> int:
    limit = min(MAX_RECOVERY, timedelta(seconds=duration_s * (1 - FAULT_FRACTION)))
    now = clock.now()
    stuck = [caller.item for caller in callers if now - caller.last_success_at > limit]
    if len(callers) - len(stuck) < recovered_share * len(callers):
        checker.findings.append(f"recovery: no success for {limit} at {stuck}")
    return len(stuck)


def _check_logs(site: SoakSite, checker: PromiseChecker) -> None:
    runs: Counter[str] = Counter()
    for service in site.services:
        numbers: dict[str, list[int]] = {}
        primary = service.group.find_primary()
        if primary is None:
            checker.findings.append(f"{service.name}: no primary at the end")
            continue
        for entry in primary.log:
            for item, data in entry.writes:
                numbers.setdefault(item, []).append(int(data))
        for item, logged_numbers in numbers.items():
            checker.check_log(item, logged_numbers)
            for number, count in Counter(logged_numbers).items():
                if count > 1:
                    checker.findings.append(
                        f"doubled: {item} holds {number} {count} times"
                    )
        executions = service.group.executions
        runs.update(request for _, request, kind in executions if kind == "WRITE")
    checker.check_executions(runs)
    checker.findings += [_describe_loss(loss, checker) for loss in site.losses]


def _record_loss(checker: PromiseChecker, loss: Loss) -> None:
    for commit in loss.promotion.lost:
        for item, data in commit.entry.writes:
            checker.record_rolled_back(item, int(data))


def _describe_loss(loss: Loss, checker: PromiseChecker) -> str:
    """Return a finding: what a promotion lost, and whose order it was."""
    order, promotion = loss.order, loss.promotion
    first, last = promotion.lost[0], promotion.lost[-1]
    to_callers = sum(
        checker.is_acknowledged(item, int(data))
        for commit in promotion.lost
        for item, data in commit.entry.writes
    )

    def after_call_s(moment: timedelta) -> str:
        return f"{(moment - order.called_at).total_seconds():+.3f} s"

    return (
        f"lost by a promotion: {loss.service} {promotion.database_id} "
        f"(term {promotion.term}, log ends at {promotion.end}) lacks "
        f"{len(promotion.lost)} commits acknowledged by databases, {to_callers} of "
        f"them to callers: {first.entry.position} of {first.database_id} at "
        f"{after_call_s(first.acknowledged_at)} to {last.entry.position} of "
        f"{last.database_id} at {after_call_s(last.acknowledged_at)}; the first is in "
        f"the logs of {list(promotion.holders)}; ordered by {order.holder} with token "
        f"{order.token}, executed at {after_call_s(order.executed_at)}, in effect at "
        f"{after_call_s(loss.effective_at)} after the call"
    )


def _remove_folder(folder: Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()
