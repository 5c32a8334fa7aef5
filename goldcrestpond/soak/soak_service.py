"""One service of a soak: its databases, their entries in the registry, their links."""

import random
from collections.abc import Iterator
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from ..clock.clock import Clock
from ..group.role import Role
from ..serving.decision_log import DecisionLog
from ..standin.line_bodies import make_registry_entry
from ..standin.line_group import LineDatabase, LineGroup, LinePromotion
from ..standin.line_platform import LinePlatform
from ..standin.line_server import LineServer
from .fault_proxy import FaultProxy

HEARTBEAT = timedelta(milliseconds=1200)
# The registry drops an entry that was not renewed for this time.
ENTRY_LIFETIME = 3 * HEARTBEAT
_POLL_INTERVAL_S = 0.1
COPY_S = 0.3  # time that a new replica copies before it receives


class SoakService:
    """Databases of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    suffix : str
        End of the database names of its routes.
    ids : iterator of str
        Ids for its databases.
    platform : LinePlatform
        Holds the registry.
    replication_delay_ms : tuple of int
        Shortest and longest time that a commit takes to reach a replica.
    work_ms : tuple of int
        Shortest and longest time that a database works on a read or write.
    rng : random.Random
        Draws these times.
    clock : Clock
        Source of the time.
    log : DecisionLog
        Receives what happens to the databases.

    Attributes
    ----------
    group, servers
        Stand-ins for the databases.
    links : dict of str to FaultProxy
        Proxy between the instances and each database.
    promotions : list of LinePromotion
        Promotions that took effect.
    """

    def __init__(
        self,
        name: str,
        suffix: str,
        ids: Iterator[str],
        platform: LinePlatform,
        replication_delay_ms: tuple[int, int],
        work_ms: tuple[int, int],
        rng: random.Random,
        clock: Clock,
        log: DecisionLog,
    ):
        self.name = name
        self.suffix = suffix
        self.group = LineGroup(name, [next(ids) for _ in range(3)], clock)
        self.group.draw_work_s = lambda: rng.uniform(*work_ms) / 1000
        self.servers = LineServer(self.group)
        self.links: dict[str, FaultProxy] = {}
        self.promotions: list[LinePromotion] = []
        self._ids = ids
        self._platform = platform
        self._replication_delay_ms = replication_delay_ms
        self._rng = rng
        self._clock = clock
        self._log = log
        self._written_at: dict[str, timedelta] = {}
        self._gone: set[str] = set()
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Start the databases, their links and their heartbeats."""
        self._tasks = tasks
        await self.servers.start(tasks)
        for database in self.group.databases.values():
            await self._register(database)
        tasks.start_soon(self._renew_entries)

    def running_primary(self) -> LineDatabase | None:
        """Return the primary if it is running."""
        running = self.running_databases()
        return next((d for d in running if d.role is Role.PRIMARY), None)

    def running_replicas(self) -> list[LineDatabase]:
        """Return the replicas that are running."""
        return [d for d in self.running_databases() if d.role is Role.REPLICA]

    def running_databases(self) -> list[LineDatabase]:
        """Return the databases that are running and have a link."""
        databases = self.group.databases.values()
        return [d for d in databases if d.is_running and d.database_id in self.links]

    async def crash(self, database: LineDatabase) -> None:
        """Crash a database. Its entry expires later."""
        self.log("database crashed", database)
        await self.servers.crash(database.database_id)

    async def restart(self, database: LineDatabase) -> None:
        """Start a crashed database under a new id and address, with its log."""
        new_id = next(self._ids)
        restarted = self.group.restart(database.database_id, new_id)
        await self.servers.add(restarted)
        await self._register(restarted)
        self.log("database returned", restarted, former=database.database_id)

    async def add_replica(self, is_listed_first: bool = True) -> LineDatabase:
        """Start a new replica.

        It receives commits after the time that it copies, before or after it is listed.
        """
        replica = self.group.add_replica(next(self._ids), COPY_S)
        if not is_listed_first:
            await anyio.sleep(COPY_S)
        await self.servers.add(replica)
        await self._register(replica)
        self.log("replica started", replica)
        return replica

    async def stop(self, database: LineDatabase) -> None:
        """End a database that has reported so: it leaves the registry at once."""
        await self.servers.crash(database.database_id)
        self._remove_entry(database.database_id)
        self.log("database ended", database)

    def has_run(self, request_id: str) -> bool:
        """Return whether a database got a request."""
        return any(run[1] == request_id for run in self.group.executions)

    def remove(self, database: LineDatabase) -> None:
        """Remove a stopped database for good; a primary goes with its successor."""
        if database.role is Role.REPLICA:
            self.group.remove(database.database_id)
        else:
            self._gone.add(database.database_id)

    def promote(self, database_id: str) -> LinePromotion | None:
        """Promote a database; return None if that changes nothing."""
        promotion = self.group.promote(database_id)
        if promotion is not None:
            self.promotions.append(promotion)
            for gone_id in self._gone & self.group.databases.keys():
                self.group.remove(gone_id)
            self.write_entries()
        return promotion

    def write_entries(self) -> None:
        """Write the entries of all running databases."""
        for database in self.running_databases():
            self._write_entry(database)

    def log(self, event: str, database: LineDatabase, **more: object) -> None:
        """Log what happens to a database."""
        self._log.decision(
            event,
            service=self.name,
            database=database.database_id,
            role=str(database.role),
            end=str(database.received_position),
            **more,
        )

    async def _register(self, database: LineDatabase) -> None:
        low_ms, high_ms = self._replication_delay_ms
        database.replication_delay_s = self._rng.uniform(low_ms, high_ms) / 1000
        link = FaultProxy(self.servers.addresses[database.database_id])
        await link.start(self._tasks)
        self.links[database.database_id] = link
        self._write_entry(database)

    def _write_entry(self, database: LineDatabase) -> None:
        database_id = database.database_id
        address = self.links[database_id].address
        database.sequence += 1
        entry = make_registry_entry(self.name, database, address, "z1")
        self._platform.put("servers", database_id, entry)
        self._written_at[database_id] = self._clock.now()

    def _remove_entry(self, database_id: str) -> None:
        self._written_at.pop(database_id, None)
        self._platform.remove("servers", database_id)

    async def _renew_entries(self) -> None:
        while True:
            await anyio.sleep(_POLL_INTERVAL_S)
            now = self._clock.now()
            for database_id, written_at in list(self._written_at.items()):
                database = self.group.databases.get(database_id)
                if database is not None and database.is_running:
                    if now - written_at >= HEARTBEAT:
                        self._write_entry(database)
                elif now - written_at >= ENTRY_LIFETIME:
                    self._remove_entry(database_id)
