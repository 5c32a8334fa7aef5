"""Operators that change resources while the store is healthy, failing or slow."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio

from ..api.resource_client import ResourceClient
from ..configuration.kind import Kind
from ..root.local_site import LocalSite
from .latencies import Latencies
from .load_run import LoadRun
from .revert_counter import RevertCounter

_POLICY = "counted"
_MAX_WAIT = timedelta(seconds=30)
_MAX_PAUSE_S = 0.1
# The status lags behind the proxies; most changes do not wait for it.
_CHANGES_PER_STATUS_CHECK = 10
_OUTAGE_S = 1.0
_SLOW_DELAY_MS = 400
_RACER_COUNT = 4
_RACED_POLICIES = ("raced-a", "raced-b")
_LOST_ANSWER_COUNT = 10

_Script = Callable[[LocalSite, LoadRun, random.Random], Awaitable[None]]


def make_resource_changes(duration_s: float) -> _Script:
    """Return the script, which has four phases of equal length.

    The phases are: a healthy store, outages, a slow store, and concurrent changes
    while answers of the store are lost. The latencies in the result's ``details``
    run from the API's answer, or from the end of the outage if that is later,
    until the change is in force on every proxy.
    """

    async def change_resources(
        site: LocalSite, run: LoadRun, rng: random.Random
    ) -> None:
        revert_counters = [
            _subscribe_revert_counter(proxy.configuration) for proxy in site.proxies
        ]
        server = f"http://{site.api}"
        async with ResourceClient(server, "", run.clock, _MAX_WAIT) as client:
            changer = _ResourceChanger(site, run, rng, client)
            await changer.create_resources()
            phase_s = duration_s / 4
            await changer.make_changes("healthy", phase_s)
            await changer.make_changes_during_outages(phase_s)
            site.platform.faults.delay_ms = _SLOW_DELAY_MS
            await changer.make_changes("slow", phase_s)
            site.platform.faults.delay_ms = 0
            await changer.run_race(phase_s)
        run.reverts = sum(counter.revert_count for counter in revert_counters)

    return change_resources


def _subscribe_revert_counter(source) -> RevertCounter:
    counter = RevertCounter(_POLICY)
    source.subscribe(counter.record_configuration)
    return counter


class _ResourceChanger:
    """Changes resources and measures the time until changes are in force."""

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

    async def create_resources(self) -> None:
        """Create the read policies that the phases change."""
        await self._raise_max_age()
        for name in _RACED_POLICIES:
            await self._client.create(Kind.READ_POLICY, name, {"max_age_ms": 0})

    async def make_changes(self, name: str, duration_s: float) -> None:
        """Make one change after another and store the figures under ``name``."""
        latencies, statuses = Latencies(), Latencies()
        counts = self._site.platform.counts
        reads_before, started_at = counts.reads, self._run.clock.now()
        while self._run.clock.now() < started_at + timedelta(seconds=duration_s):
            await self._raise_max_age()
            answered_at = self._run.clock.now()
            await self._wait_in_force()
            latencies.record(self._run.clock.now() - answered_at)
            if latencies.count % _CHANGES_PER_STATUS_CHECK == 1:
                await self._client.wait_until_in_force(
                    Kind.READ_POLICY, _POLICY, answered_at + _MAX_WAIT
                )
                statuses.record(self._run.clock.now() - answered_at)
            await anyio.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
        elapsed = self._run.clock.now() - started_at
        reads_per_s = (counts.reads - reads_before) / elapsed.total_seconds()
        self._record_details(name, latencies)
        self._record_details(f"{name}_status", statuses)
        self._run.details[f"{name}_store_reads_per_s"] = reads_per_s

    async def make_changes_during_outages(self, duration_s: float) -> None:
        """Request a change during each outage and measure from the outage's end."""
        latencies = Latencies()
        deadline = self._run.clock.now() + timedelta(seconds=duration_s)
        index = 0
        while self._run.clock.now() < deadline:
            ended_at = await self._change_during_outage(is_silent=index % 2 == 1)
            latencies.record(self._run.clock.now() - ended_at)
            index += 1
        self._record_details("outage_end", latencies)

    async def run_race(self, duration_s: float) -> None:
        """Change the same resources concurrently while the store loses answers."""
        accepted: list[int] = []
        async with anyio.create_task_group() as racers:
            for _ in range(_RACER_COUNT):
                racers.start_soon(self._run_racer, duration_s, accepted)
            racers.start_soon(self._lose_answers, duration_s)
        generations = [
            (await self._client.read(Kind.READ_POLICY, name))["generation"]
            for name in _RACED_POLICIES
        ]
        change_count = sum(generations) - len(_RACED_POLICIES)
        self._run.details["raced_accepted"] = len(accepted)
        self._run.changes_lost_or_doubled = abs(change_count - len(accepted))

    async def _run_racer(self, duration_s: float, accepted: list[int]) -> None:
        deadline = self._run.clock.now() + timedelta(seconds=duration_s)
        while self._run.clock.now() < deadline:
            name = self._rng.choice(_RACED_POLICIES)
            spec = {"max_age_ms": self._rng.randrange(1, 80_000_000)}
            body = await self._client.apply(Kind.READ_POLICY, name, spec)
            accepted.append(body["resourceVersion"])

    async def _lose_answers(self, duration_s: float) -> None:
        for _ in range(_LOST_ANSWER_COUNT):
            self._site.platform.faults.lose_next_answers += 1
            await anyio.sleep(duration_s / _LOST_ANSWER_COUNT)

    async def _change_during_outage(self, is_silent: bool) -> timedelta:
        faults = self._site.platform.faults
        faults.silent, faults.down = is_silent, not is_silent
        ended_at = self._run.clock.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._raise_max_age)
            await anyio.sleep(_OUTAGE_S + self._rng.uniform(0, _OUTAGE_S))
            faults.silent = faults.down = False
            ended_at = self._run.clock.now()
        await self._wait_in_force()
        return ended_at

    async def _raise_max_age(self) -> None:
        self._max_age_ms += 1
        body = await self._client.replace(
            Kind.READ_POLICY,
            _POLICY,
            {"max_age_ms": self._max_age_ms},
            self._version,
        )
        self._version = body["resourceVersion"]

    async def _wait_in_force(self) -> None:
        with anyio.fail_after(_MAX_WAIT.total_seconds()):
            for proxy in self._site.proxies:
                await proxy.configuration.wait_revision(self._version)

    def _record_details(self, name: str, latencies: Latencies) -> None:
        details = self._run.details
        details[f"{name}_changes"] = latencies.count
        for percentile in (50, 99, 100):
            key = f"{name}_p{percentile}_ms"
            details[key] = latencies.percentile_ms(percentile)
