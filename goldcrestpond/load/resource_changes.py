"""Operators change resources while the store is healthy, out, slow and raced."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..api.resource_client import ResourceClient
from ..configuration.kind import Kind
from ..root.local_site import LocalSite
from .latencies import Latencies
from .load_run import LoadRun
from .revert_watch import RevertWatch

_POLICY = "counted"
_PATIENCE = timedelta(seconds=30)
_PAUSE_MAX_S = 0.1
# The status lags the proxies; most changes do not wait for it.
_STATUS_EVERY = 10
_OUTAGE_S = 1.0
_SLOW_DELAY_MS = 400
_RACER_COUNT = 4
_RACED_POLICIES = ("raced-a", "raced-b")
_LOST_ANSWERS = 10

_Script = Callable[[LocalSite, LoadRun, random.Random], Awaitable[None]]


def make_resource_changes(duration_s: float) -> _Script:
    """Return the script: four parts of the same length.

    Figures are kept under ``details`` of the result: from the API's answer, or
    the end of the outage if that is later, until the change is in force on
    every proxy.
    """

    async def change_resources(
        site: LocalSite, run: LoadRun, rng: random.Random
    ) -> None:
        watches = [_watch(proxy.configuration) for proxy in site.proxies]
        server = f"http://{site.api}"
        async with ResourceClient(server, "", run.clock, _PATIENCE) as client:
            changes = _Changes(site, run, rng, client)
            await changes.start()
            part_s = duration_s / 4
            await changes.make_for("healthy", part_s)
            await changes.make_during_outages(part_s)
            site.platform.faults.delay_ms = _SLOW_DELAY_MS
            await changes.make_for("slow", part_s)
            site.platform.faults.delay_ms = 0
            await changes.race(part_s)
        run.reverts = sum(watch.revert_count for watch in watches)

    return change_resources


def _watch(source) -> RevertWatch:
    watch = RevertWatch(_POLICY)
    source.subscribe(watch.see)
    return watch


class _Changes:
    """Makes changes and measures until they are in force."""

    __slots__ = ("_client", "_max_age_ms", "_rng", "_run", "_site", "_version")

    def __init__(
        self,
        site: LocalSite,
        run: LoadRun,
        rng: random.Random,
        client: ResourceClient,
    ):
        self._site = site
        self._run = run
        self._rng = rng
        self._client = client
        self._version = 0
        self._max_age_ms = 0

    async def start(self) -> None:
        """Create the resources that are changed later."""
        await self._change()
        for name in _RACED_POLICIES:
            await self._client.create(Kind.READ_POLICY, name, {"max_age_ms": 0})

    async def make_for(self, name: str, duration_s: float) -> None:
        """Make one change after the other and keep the figures under a name."""
        latencies, statuses = Latencies(), Latencies()
        counts = self._site.platform.counts
        reads_before, started = counts.reads, self._run.clock.now()
        while self._run.clock.now() < started + timedelta(seconds=duration_s):
            await self._change()
            answered = self._run.clock.now()
            await self._wait_in_force()
            latencies.record(self._run.clock.now() - answered)
            if latencies.count % _STATUS_EVERY == 1:
                await self._client.wait_until_in_force(
                    Kind.READ_POLICY, _POLICY, answered + _PATIENCE
                )
                statuses.record(self._run.clock.now() - answered)
            await anyio.sleep(self._rng.uniform(0, _PAUSE_MAX_S))
        elapsed = self._run.clock.now() - started
        reads_per_s = (counts.reads - reads_before) / elapsed.total_seconds()
        self._keep(name, latencies)
        self._keep(f"{name}_status", statuses)
        self._run.details[f"{name}_store_reads_per_s"] = reads_per_s

    async def make_during_outages(self, duration_s: float) -> None:
        """Ask for a change during each outage and measure from its end."""
        latencies = Latencies()
        deadline = self._run.clock.now() + timedelta(seconds=duration_s)
        turn = 0
        while self._run.clock.now() < deadline:
            ended = await self._change_during_outage(is_silent=turn % 2 == 1)
            latencies.record(self._run.clock.now() - ended)
            turn += 1
        self._keep("outage_end", latencies)

    async def race(self, duration_s: float) -> None:
        """Let operators change the same resources while answers are lost."""
        accepted: list[int] = []
        async with anyio.create_task_group() as racers:
            for _ in range(_RACER_COUNT):
                racers.start_soon(self._race_one, duration_s, accepted)
            racers.start_soon(self._lose_answers, duration_s)
        generations = [
            (await self._client.read(Kind.READ_POLICY, name))["generation"]
            for name in _RACED_POLICIES
        ]
        changes = sum(generations) - len(_RACED_POLICIES)
        self._run.details["raced_accepted"] = len(accepted)
        self._run.changes_lost_or_doubled = abs(changes - len(accepted))

    async def _race_one(self, duration_s: float, accepted: list[int]) -> None:
        deadline = self._run.clock.now() + timedelta(seconds=duration_s)
        while self._run.clock.now() < deadline:
            name = self._rng.choice(_RACED_POLICIES)
            spec = {"max_age_ms": self._rng.randrange(1, 80_000_000)}
            body = await self._client.apply(Kind.READ_POLICY, name, spec)
            accepted.append(body["resourceVersion"])

    async def _lose_answers(self, duration_s: float) -> None:
        for _ in range(_LOST_ANSWERS):
            self._site.platform.faults.lose_next_answers += 1
            await anyio.sleep(duration_s / _LOST_ANSWERS)

    async def _change_during_outage(self, is_silent: bool) -> timedelta:
        faults = self._site.platform.faults
        faults.silent, faults.down = is_silent, not is_silent
        ended = self._run.clock.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._change)
            await anyio.sleep(_OUTAGE_S + self._rng.uniform(0, _OUTAGE_S))
            faults.silent = faults.down = False
            ended = self._run.clock.now()
        await self._wait_in_force()
        return ended

    async def _change(self) -> None:
        self._max_age_ms += 1
        body = await self._client.replace(
            Kind.READ_POLICY,
            _POLICY,
            {"max_age_ms": self._max_age_ms},
            self._version,
        )
        self._version = body["resourceVersion"]

    async def _wait_in_force(self) -> None:
        with anyio.fail_after(_PATIENCE.total_seconds()):
            for proxy in self._site.proxies:
                await proxy.configuration.wait_revision(self._version)

    def _keep(self, name: str, latencies: Latencies) -> None:
        details = self._run.details
        details[f"{name}_changes"] = latencies.count
        for percentile in (50, 99, 100):
            key = f"{name}_p{percentile}_ms"
            details[key] = latencies.percentile_ms(percentile)
