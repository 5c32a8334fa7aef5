"""A session that reads the count of entries with a maximum age."""

import random
from collections.abc import Sequence
from datetime import timedelta

import anyio
import psycopg

from ..settings.address import Address
from . import fuel_log
from .load_run import LoadRun
from .reported_outcome import parse_result_number
from .roaming_connection import RoamingConnection
from .workload import Workload


class PlannerSession:
    """A dispatch planner's session: counts entries with reads of a maximum age.

    Parameters
    ----------
    addresses : sequence of Address
        Addresses of the proxies.
    database : str
        Database name of the route.
    workload : Workload
        Mix of requests.
    run : LoadRun
        Audit, latencies and counts of the run.
    rng : random.Random
        Source of all random choices.
    """

    def __init__(
        self,
        addresses: Sequence[Address],
        database: str,
        workload: Workload,
        run: LoadRun,
        rng: random.Random,
    ):
        self._workload = workload
        self._run = run
        self._rng = rng
        highest_age_ms = max(workload.max_age_ms, workload.max_age_limit_ms)
        max_age_ms = rng.randint(workload.max_age_ms, highest_age_ms)
        self._max_age = timedelta(milliseconds=max_age_ms)
        parameters = {
            "default_transaction_read_only": "on",
            "goldcrestpond.max_age_ms": str(max_age_ms),
        }
        self._reader = RoamingConnection(addresses, database, rng, parameters)

    async def work(self) -> None:
        """Send requests until the run is over."""
        while not self._run.is_over:
            await anyio.sleep(self._rng.expovariate(1 / self._workload.think_ms) / 1000)
            if self._rng.random() < self._workload.roam_share:
                await self._reader.close()
            try:
                with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                    await self._read()
            except (psycopg.Error, TimeoutError) as error:
                self._run.refused_reads += 1
                self._run.record_refusal(parse_result_number(error))
                await self._reader.close()
        await self._reader.close()

    async def _read(self) -> None:
        connection = await self._reader.get_open_connection()
        started = self._run.clock.now()
        cursor = await connection.execute(fuel_log.READ_COUNT)
        from_replica, shown = await cursor.fetchone()
        min_count = self._run.count_acknowledged_until(started - self._max_age)
        self._run.auditor.check_count(min_count, shown)
        self._run.record_read(from_replica, started)
        self._run.aged_read_count += 1
        self._run.replica_aged_read_count += from_replica
