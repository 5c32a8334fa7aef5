"""Kills and pauses proxy processes under an audited load.

``python -m bench.process_faults [--seed 1] [--duration_s 20] [--proxies 4]`` prints
one JSON line in the format of ``goldcrestpond-load``; the exit status is 1 if a
promise was broken. A paused proxy resumes with the state that it had before, which
may be out of date: half of the pauses include a failure of the primary.
"""

import functools
import random
import signal
import socket
import sys
from contextlib import ExitStack
from dataclasses import replace

import anyio
import anyio.to_thread
import fire
import msgspec

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.load.failures import FAILURES, end_faults, fail_primary
from goldcrestpond.load.load_result import LoadResult
from goldcrestpond.load.load_run import LoadRun
from goldcrestpond.load.run_load import audit_site, make_result, start_sessions
from goldcrestpond.load.scenarios import make_scenarios
from goldcrestpond.load.workload import Workload
from goldcrestpond.root.local_site import LocalSite, run_local_site
from goldcrestpond.settings.address import Address
from goldcrestpond.settings.proxy_settings import ProxySettings
from goldcrestpond.store.instance_entry import InstanceEntry

from .child_process import ChildProcess, run_program

_HOST = "127.0.0.1"
_FAULT_INTERVAL_S = 1.5
_PAUSE_S = 4.0  # longer than every lease of the proxies
_SESSION_END_TIMEOUT_S = 20.0
_WORKLOAD = Workload(request_timeout_ms=6000, roam_share=0.1)


def measure(seed: int = 1, duration_s: float = 20.0, proxies: int = 4) -> None:
    """Run the load and print one JSON line.

    Parameters
    ----------
    seed : int
        Seed of the faults and of the load.
    duration_s : float
        Time during which faults are caused.
    proxies : int
        Number of proxy processes.
    """
    result = anyio.run(functools.partial(_run, seed, duration_s, proxies))
    print(msgspec.json.encode(result).decode())
    sys.exit(result.broken_promises > 0)


class _ProxyProcess:
    """A proxy process that can be killed and started again at the same addresses."""

    def __init__(self, name: str, platform: Address):
        self._settings = ProxySettings(
            name,
            f"{_HOST}:{_free_port(socket.SOCK_STREAM)}",
            str(platform),
            peer_listen=f"{_HOST}:{_free_port(socket.SOCK_DGRAM)}",
            log_level="ERROR",
            trust_callers=True,
        )
        self._stack = ExitStack()
        self._child: ChildProcess | None = None

    @property
    def address(self) -> Address:
        """Address at which the proxy accepts callers."""
        host, _, port = self._settings.listen.rpartition(":")
        return Address(host, int(port))

    def make_instance_entry(self) -> InstanceEntry:
        """Return the proxy's entry in the platform's list of instances."""
        return InstanceEntry(self._settings.instance, self._settings.peer_listen)

    async def start(self) -> None:
        """Start the process and wait until it accepts callers."""
        program = run_program("goldcrestpond-proxy", [], self._settings)
        enter = functools.partial(self._stack.enter_context, program)
        self._child = await anyio.to_thread.run_sync(enter)

    async def stop(self) -> None:
        """Terminate the process, even if it is paused, and wait until it has ended."""
        await anyio.to_thread.run_sync(self._stack.close)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._child.send_signal(number)


async def _run(seed: int, duration_s: float, count: int) -> LoadResult:
    rng = random.Random(seed)
    clock = SystemClock()
    run = LoadRun(clock)
    settings = make_scenarios(seed, duration_s)["palermo"].site
    async with run_local_site(replace(settings, proxy_count=0)) as site:
        proxies = [
            _ProxyProcess(f"proxy-{number}", site.platform.address)
            for number in range(1, count + 1)
        ]
        site.platform.set_instances([proxy.make_instance_entry() for proxy in proxies])
        try:
            for proxy in proxies:
                await proxy.start()
            started = clock.now()
            await _run_load(site, run, proxies, rng, duration_s)
            duration = clock.now() - started
        finally:
            for proxy in proxies:
                await proxy.stop()
        audit = await audit_site(site, run)
    return make_result("process_faults", seed, duration, run, audit)


async def _run_load(
    site: LocalSite,
    run: LoadRun,
    proxies: list[_ProxyProcess],
    rng: random.Random,
    duration_s: float,
) -> None:
    addresses = [proxy.address for proxy in proxies]
    async with anyio.create_task_group() as sessions:
        start_sessions(sessions, addresses, "fuel", _WORKLOAD, run, rng)
        with anyio.move_on_after(duration_s):
            await _cause_faults(site, run, proxies, rng)
        await end_faults(site)
        for proxy in proxies:
            proxy.send_signal(signal.SIGCONT)
        run.is_over = True
        sessions.cancel_scope.deadline = anyio.current_time() + _SESSION_END_TIMEOUT_S


async def _cause_faults(
    site: LocalSite, run: LoadRun, proxies: list[_ProxyProcess], rng: random.Random
) -> None:
    run.details.update(kills=0, pauses=0)
    while True:
        await anyio.sleep(_FAULT_INTERVAL_S)
        proxy = rng.choice(proxies)
        if rng.random() < 0.5:
            proxy.send_signal(signal.SIGKILL)
            await proxy.stop()
            run.details["kills"] += 1
            await anyio.sleep(_FAULT_INTERVAL_S)
            await proxy.start()
            continue
        proxy.send_signal(signal.SIGSTOP)
        run.details["pauses"] += 1
        async with anyio.create_task_group() as tasks:
            if rng.random() < 0.5:
                tasks.start_soon(fail_primary, site, run, rng.choice(FAILURES))
            await anyio.sleep(_PAUSE_S)
            proxy.send_signal(signal.SIGCONT)


def _free_port(kind: socket.SocketKind) -> int:
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((_HOST, 0))
        return probe.getsockname()[1]


if __name__ == "__main__":
    fire.Fire(measure)
