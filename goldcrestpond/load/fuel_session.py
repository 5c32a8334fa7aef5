"""A session that writes fuel-log entries and reads back its own."""

import random
from collections.abc import Sequence

import anyio
import psycopg

from ..session.token import parse_token
from ..settings.address import Address
from . import fuel_log
from .entry import Entry
from .load_run import LoadRun
from .reported_outcome import ReportedOutcome, classify_outcome, parse_result_number
from .roaming_connection import RoamingConnection
from .workload import Workload

_DEPOTS = ("west", "north", "port")
_ROWS_PER_TRANSACTION = 2
_READ_PARAMETERS = {"default_transaction_read_only": "on"}
_RECONNECT_PAUSE_MS = 20.0


class FuelSession:
    """A pump attendant's session, which moves between proxies.

    Parameters
    ----------
    name : str
        Name of the session, stored in its rows.
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
        name: str,
        addresses: Sequence[Address],
        database: str,
        workload: Workload,
        run: LoadRun,
        rng: random.Random,
    ):
        self._name = name
        self._workload = workload
        self._run = run
        self._rng = rng
        self._writer = RoamingConnection(addresses, database, rng, {})
        self._reader = RoamingConnection(addresses, database, rng, _READ_PARAMETERS)
        self._number = 0
        self._token = ""

    async def work(self) -> None:
        """Send requests until the run is over."""
        while not self._run.is_over:
            await self._pause(self._workload.think_ms)
            if self._rng.random() < self._workload.roam_share:
                await self._roam()
            if self._rng.random() < self._workload.write_share:
                await self.write()
            else:
                await self._read()
        await self._writer.close()
        await self._reader.close()

    async def _pause(self, mean_ms: float) -> None:
        if mean_ms:
            await anyio.sleep(self._rng.expovariate(1 / mean_ms) / 1000)

    async def _roam(self) -> None:
        await self._writer.close()
        await self._reader.close()
        if self._rng.random() < self._workload.tokenless_share:
            self._token = ""

    async def _connect(
        self, roaming: RoamingConnection
    ) -> psycopg.AsyncConnection | None:
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                return await roaming.get_open_connection(self._token)
        except (psycopg.Error, TimeoutError) as error:
            self._run.unsent_requests += 1
            self._run.record_refusal(parse_result_number(error))
        await roaming.close()
        await self._pause(_RECONNECT_PAUSE_MS)
        return None

    # Writes

    async def write(self) -> None:
        """Write one entry and record its outcome."""
        connection = await self._connect(self._writer)
        if connection is None:
            return
        is_transaction = self._rng.random() < self._workload.transaction_share
        self._number += 1
        part_count = _ROWS_PER_TRANSACTION if is_transaction else 1
        entry = self._run.auditor.record_attempt(self._name, self._number, part_count)
        started = self._run.clock.now()
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                await self._send_write(connection, entry)
        except (psycopg.Error, TimeoutError) as error:
            await self._record_write_failure(entry, error)
            return
        self._token = self._writer.token or self._token
        position = parse_token(self._token).position if self._token else None
        self._run.record_acknowledgement(entry, position, started)

    async def _send_write(
        self, connection: psycopg.AsyncConnection, entry: Entry
    ) -> None:
        litres = self._rng.randrange(20, 300)
        row = (entry.session, entry.number, 0, f"bus {entry.number % 40}", litres)
        if entry.part_count == 1:
            await connection.execute(fuel_log.INSERT, row)
            return
        depot = self._rng.choice(_DEPOTS)
        async with connection.transaction():
            await connection.execute(fuel_log.INSERT, row)
            await connection.execute(fuel_log.TAKE_FROM_TANK, (litres, depot))
            await connection.execute(fuel_log.INSERT, (*row[:2], 1, *row[3:]))

    async def _record_write_failure(self, entry: Entry, error: Exception) -> None:
        reported_outcome = classify_outcome(error)
        self._run.auditor.record_outcome(entry, reported_outcome)
        self._run.record_refusal(parse_result_number(error))
        if reported_outcome is ReportedOutcome.UNKNOWN:
            await self._writer.close()

    # Reads

    async def _read(self) -> None:
        connection = await self._connect(self._reader)
        if connection is None:
            return
        min_number = self._run.auditor.get_last_acknowledged(self._name)
        started = self._run.clock.now()
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                cursor = await connection.execute(
                    fuel_log.READ_OWN, (self._name, self._name)
                )
                from_replica, name, shown = await cursor.fetchone()
        except (psycopg.Error, TimeoutError) as error:
            self._run.refused_reads += 1
            self._run.record_refusal(parse_result_number(error))
            await self._reader.close()
            return
        self._run.auditor.check_own_read(self._name, name, min_number, shown)
        self._run.record_read(from_replica, started)
