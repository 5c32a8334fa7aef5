"""A pump attendant: writes fuel entries and reads its own."""

import random
from collections.abc import Sequence

import anyio
import psycopg

from ..session.token import parse_token
from ..settings.address import Address
from . import fuel_log
from .caller_link import CallerLink
from .entry import Entry
from .load_run import LoadRun
from .told import Told, number_of, told_by
from .workload import Workload

_DEPOTS = ("west", "north", "port")
_PARTS_OF_TRANSACTION = 2
_READ_PARAMETERS = {"default_transaction_read_only": "on"}
_RECONNECT_PAUSE_MS = 20.0


class FuelSession:
    """One session that roams between proxies.

    Parameters
    ----------
    name : str
        Name, which its rows bear.
    addresses : sequence of Address
        Proxies.
    database : str
        Database name of the route.
    workload : Workload
        Mix of requests.
    run : LoadRun
        Shared records.
    rng : random.Random
        Source of all choices.
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
        self._writer = CallerLink(addresses, database, rng, {})
        self._reader = CallerLink(addresses, database, rng, _READ_PARAMETERS)
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
        await self._writer.leave()
        await self._reader.leave()

    async def _pause(self, mean_ms: float) -> None:
        if mean_ms:
            await anyio.sleep(self._rng.expovariate(1 / mean_ms) / 1000)

    async def _roam(self) -> None:
        await self._writer.leave()
        await self._reader.leave()
        if self._rng.random() < self._workload.tokenless_share:
            self._token = ""

    async def _connect(self, link: CallerLink) -> psycopg.AsyncConnection | None:
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                return await link.ready(self._token)
        except (psycopg.Error, TimeoutError) as error:
            self._run.unsent_requests += 1
            self._run.refuse(number_of(error))
        await link.leave()
        await self._pause(_RECONNECT_PAUSE_MS)
        return None

    # Writes

    async def write(self) -> None:
        """Write one entry and settle it with the auditor."""
        connection = await self._connect(self._writer)
        if connection is None:
            return
        is_transaction = self._rng.random() < self._workload.transaction_share
        self._number += 1
        part_count = _PARTS_OF_TRANSACTION if is_transaction else 1
        entry = self._run.auditor.attempt(self._name, self._number, part_count)
        started = self._run.clock.now()
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                await self._send(connection, entry)
        except (psycopg.Error, TimeoutError) as error:
            await self._write_failed(entry, error)
            return
        self._token = self._writer.token or self._token
        position = parse_token(self._token).position if self._token else None
        self._run.acknowledge(entry, position, started)

    async def _send(self, connection: psycopg.AsyncConnection, entry: Entry) -> None:
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

    async def _write_failed(self, entry: Entry, error: Exception) -> None:
        told = told_by(error)
        self._run.auditor.settle(entry, told)
        self._run.refuse(number_of(error))
        if told is Told.UNKNOWN:
            await self._writer.leave()

    # Reads

    async def _read(self) -> None:
        connection = await self._connect(self._reader)
        if connection is None:
            return
        least = self._run.auditor.last_acknowledged(self._name)
        started = self._run.clock.now()
        try:
            with anyio.fail_after(self._workload.request_timeout_ms / 1000):
                cursor = await connection.execute(
                    fuel_log.READ_OWN, (self._name, self._name)
                )
                from_replica, name, shown = await cursor.fetchone()
        except (psycopg.Error, TimeoutError) as error:
            self._run.refused_reads += 1
            self._run.refuse(number_of(error))
            await self._reader.leave()
            return
        self._run.auditor.check_own_read(self._name, name, least, shown)
        self._run.read_done(from_replica, started)
