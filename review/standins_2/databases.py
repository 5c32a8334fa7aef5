"""Stand-in of the databases of one service."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

from .store import Store

Position = tuple[int, int]
_RECEIPTS = itertools.count(1)
_SLOT_WORDS = ("READ", "WRITE", "EXECUTE", "COMMIT")


class Run:
    """One request that a database has received from an instance.

    Attributes
    ----------
    request_id, database_id : str
        Id of the request, and the database.
    began_at, ended_at : float
        Monotonic time at which it came, and at which its answer was sent; infinite
        while it runs.
    who : str
        Who has connected, as the connection says.
    values : dict of str to str
        Session values of the connection.
    shape : str
        Shape of the prepared statement that it executed; empty for others.
    last_entry : tuple or None
        Last entry of the log on which it ran, of which there were ``length``.
    rows : list of str
        Rows of its answer.
    """

    def __init__(self, request_id: str, database_id: str, who: str):
        self.request_id = request_id
        self.who = who
        self.database_id = database_id
        self.values: dict[str, str] = {}
        self.shape = ""
        self.last_entry: tuple | None = None
        self.length = 0
        self.rows: list[str] = []
        self.began_at = time.monotonic()
        self.ended_at = float("inf")


class Database:
    """One database.

    Attributes
    ----------
    role : str
        ``primary`` or ``replica``.
    log : list of tuple
        Entries: position, request id, and the writes.
    """

    def __init__(self, database_id: str, role: str, zone: str, slots: int):
        self.database_id = database_id
        self.role = role
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.term = 1
        self.paused_term = 0
        self.log: list[tuple[Position, str, dict[str, str]]] = []
        self.values: dict[str, str] = {}
        self.is_running = True
        self.is_deaf = False
        self.port = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.connections: set[asyncio.StreamWriter] = set()

    @property
    def position(self) -> Position:
        """Position of the last entry of the log."""
        return self.log[-1][0] if self.log else (1, 0)


class Service:
    """The databases of one service, one primary and two replicas.

    A commit is answered once one replica has received it. A replica shows an entry as
    soon as it has received it.

    Attributes
    ----------
    runs : list of Run
        Requests of consumers that reached a database, in order.
    work_s : callable
        Returns how long a read, a write or a commit takes.
    losses : list of tuple
        Id of the promoted database, and the ids of the requests whose commits had been
        acknowledged and are not in its log.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        zones: list[str],
        slots: int = 5,
        queue: int = 40,
        max_connections: int = 34,
        lag_s: float = 0.008,
    ):
        self.name = name
        self.work_s: Callable[[], float] = lambda: random.uniform(0.02, 0.09)
        self.connect_s = 0.012
        self.max_connections = max_connections
        self.queue = queue
        self.lag_s = lag_s
        self.runs: list[Run] = []
        self.commits: list[tuple[Position, str]] = []
        self.losses: list[tuple[str, list[str]]] = []
        self.names_birth = False
        self.promote_s = 1.0
        self.drain_s = 7.0
        self._tasks: set[asyncio.Task] = set()
        self.databases: dict[str, Database] = {}
        self._store = store
        for index, zone in enumerate(zones):
            role = "replica" if index else "primary"
            database_id = f"i-{random.getrandbits(40):010x}"
            self.databases[database_id] = Database(database_id, role, zone, slots)

    @property
    def primary(self) -> Database:
        """The primary."""
        return next(d for d in self.databases.values() if d.role == "primary")

    @property
    def replicas(self) -> list[Database]:
        """The replicas."""
        return [d for d in self.databases.values() if d.role == "replica"]

    async def start(self) -> None:
        """Listen, register the databases and keep their entries."""
        for database in self.databases.values():
            await self._listen(database)
        self._beat = asyncio.create_task(self._register_regularly())

    async def _listen(self, database: Database) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(database, reader, writer)

        server = await asyncio.start_server(
            serve, "127.0.0.1", 0, limit=4 << 20, backlog=256
        )
        database.port = server.sockets[0].getsockname()[1]
        self.register(database)

    def register(self, database: Database) -> None:
        """Write the entry of a database."""
        database.sequence += 1
        entry = {
            "serviceName": self.name,
            "address": f"127.0.0.1:{database.port}",
            "zone": database.zone,
            "configVersion": "v1",
            "slots": database.slot_count,
            "state": database.state,
            "warmupLeftMs": 0,
            "dbRole": database.role,
            "sequence": database.sequence,
        }
        if self.names_birth:
            entry["born"] = database.born_ms
        self._store.put("servers", database.database_id, entry)

    async def _register_regularly(self) -> None:
        while True:
            await asyncio.sleep(1.2)
            for database in self.databases.values():
                if database.is_running:
                    self.register(database)

    def promote(self, database_id: str) -> bool:
        """Make a database the primary; return whether it runs."""
        chosen = self.databases.get(database_id)
        if chosen is None or not chosen.is_running:
            return False
        if chosen.role != "primary":
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_s, self._lead, chosen)
        return True

    def _lead(self, chosen: Database) -> None:
        if not chosen.is_running:
            return
        term = 1 + max(d.term for d in self.databases.values())
        kept = {request_id for _, request_id, _ in chosen.log}
        lost = [request_id for _, request_id in self.commits if request_id not in kept]
        self.losses.append((chosen.database_id, lost))
        self.commits = [entry for entry in self.commits if entry[1] in kept]
        for database in self.databases.values():
            database.role = "replica"
            database.paused_term = 0
        chosen.role, chosen.term = "primary", term
        for database in self.databases.values():
            if database.is_running:
                self.register(database)
        self._replicate()

    def crash(self, database: Database) -> None:
        """End a database without a word; its entry goes after three intervals."""
        database.is_running = False
        for writer in list(database.connections):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(3.6, self._expire, database)

    def _expire(self, database: Database) -> None:
        if not database.is_running:
            self._store.remove("servers", database.database_id)

    def restart(self, database: Database, is_empty: bool) -> None:
        """Start a crashed database again, at its address and under its id."""
        database.born_ms = int(time.time() * 1000)
        database.sequence = 0
        database.paused_term = 0
        if is_empty:
            database.term, database.log, database.values = 1, [], {}
        database.is_running = True
        self.register(database)
        self._replicate()

    def release(self, database: Database, start_s: float, copy_s: float) -> None:
        """Replace a database: the new one starts first, then the old one drains."""
        task = asyncio.create_task(self._release(database, start_s, copy_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release(self, old: Database, start_s: float, copy_s: float) -> None:
        database_id = f"i-{random.getrandbits(40):010x}"
        new = Database(database_id, "replica", old.zone, old.slot_count)
        await asyncio.sleep(copy_s)
        primary = self.primary
        new.log, new.values = list(primary.log), dict(primary.values)
        new.term = primary.term
        self.databases[database_id] = new
        await self._listen(new)
        await asyncio.sleep(start_s)
        old.state = "draining"
        self.register(old)
        await asyncio.sleep(self.drain_s + 0.5)
        while old.role == "primary":
            await asyncio.sleep(0.1)
        old.is_running = False
        for writer in list(old.connections):
            writer.transport.abort()
        self._store.remove("servers", old.database_id)
        del self.databases[old.database_id]

    def _replicate(self) -> None:
        primary = self.primary
        loop = asyncio.get_running_loop()
        for replica in self.replicas:
            delay_s = random.uniform(0.3, 1.7) * self.lag_s
            loop.call_later(delay_s, self._copy, primary, replica, len(primary.log))

    def _copy(self, primary: Database, replica: Database, count: int) -> None:
        is_fed = primary.is_running and primary.role == "primary"
        is_open = replica.is_running and not (replica.paused_term or replica.is_deaf)
        if not (is_fed and is_open and replica.role == "replica"):
            return
        known = min(len(replica.log), count)
        if known and replica.log[known - 1] is not primary.log[known - 1]:
            known, replica.values = 0, {}  # what the primary lacks is rolled back
        elif len(replica.log) > count:
            return  # a later copy came first
        new = primary.log[known:count]
        replica.log[known:] = new
        for _, _, writes in new:
            replica.values.update(writes)
        replica.term = primary.term

    async def _commit(
        self, database: Database, request_id: str, writes: dict[str, str]
    ) -> bool:
        """Append a commit, wait for a replica; False if the lead is lost."""
        position = (database.term, database.position[1] + 1)
        database.log.append((position, request_id, writes))
        database.values.update(writes)
        self._replicate()
        while database.role == "primary" and database.is_running:
            if any(r.log and position <= r.position for r in self.replicas):
                self.commits.append((position, request_id))
                return True
            await asyncio.sleep(0.002)
        return False

    async def _serve(
        self,
        database: Database,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not database.is_running:
            writer.transport.abort()
            return
        database.connections.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            word, service, who, *expected = line.split(" ")
            if service != self.name or expected not in ([], [database.database_id]):
                writer.write(b"ERROR WRONGNODE another\r\n")
                return
            if len(database.connections) > self.max_connections:
                writer.write(b"ERROR CONNLIMIT full\r\n")
                return
            async with database.slots:
                await asyncio.sleep(self.connect_s)
            writer.write(_ready("I", database))
            session = _Session(self, database, who)
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                word, _, rest = line.partition(" ")
                if word != "QUERY":
                    return
                request_id, _, text = rest.partition(" ")
                answer = await session.answer(request_id, text)
                if answer is None or not database.is_running:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the instance has closed the connection, or the case has ended
        finally:
            database.connections.discard(writer)
            writer.close()


class _Session:
    def __init__(self, service: Service, database: Database, who: str):
        self._who = who
        self._service = service
        self._database = database
        self._state = "I"
        self._is_plain = False
        self._writes: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._values: dict[str, str] = {}

    async def answer(self, request_id: str, text: str) -> bytes | None:
        """Run a query; return its answer, None if there is none."""
        database = self._database
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            since, _, text = rest.partition(" ")
            term, _, number = since.partition(".")
            if database.position < (int(term), int(number)):
                return self._error("LAGGING behind")
            word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("ROLLBACK", "COMMIT"):
            return self._error("MALFORMED the transaction failed")
        is_primary = database.role == "primary"
        if self._state == "T" and self._is_plain and not is_primary:
            if not (word == "COMMIT" and not self._writes):
                return self._error("READONLY no primary")
        if word not in _SLOT_WORDS:
            return self._run_control(word, rest, is_primary)
        if database.waiting >= self._service.queue:
            return self._error("BUSY queue")
        run = Run(request_id, database.database_id, self._who)
        self._service.runs.append(run)
        database.waiting += 1
        async with database.slots:
            database.waiting -= 1
            await asyncio.sleep(self._service.work_s())
            run.values = dict(self._values)
            if word == "EXECUTE":
                run.shape = self._prepared.get(rest.partition(" ")[0], "")
            run.length = len(database.log)
            run.last_entry = database.log[-1] if database.log else None
            rows = await self._work(request_id, word, rest)
            run.rows = rows if isinstance(rows, list) else []
        run.ended_at = time.monotonic()
        if rows is None:
            return None
        if isinstance(rows, str):
            return self._error(rows)
        lines = "".join(f"ROW {row}\r\n" for row in rows)
        receipt = f"{next(_RECEIPTS):x}"
        text = f"{lines}COMPLETE {receipt}\r\n"
        return text.encode("latin-1") + _ready(self._state, database)

    def _run_control(self, word: str, rest: str, is_primary: bool) -> bytes:
        database = self._database
        rows = []
        match word:
            case "BEGIN":
                if not rest and not is_primary:
                    return self._error("READONLY no primary")
                self._state, self._is_plain = "T", not rest
            case "ROLLBACK":
                self._state, self._writes = "I", {}
            case "RESET":
                self._prepared.clear()
                self._values.clear()
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
            case "PREPARE":
                name, _, shape = rest.partition(" ")
                self._prepared[name] = shape
            case "DEALLOC":
                pass
            case "PAUSE" | "RESUME" | "STATUS" | "STEPDOWN":
                newest = max(d.term for d in self._service.databases.values())
                if word == "PAUSE" and int(rest) > newest and not is_primary:
                    database.paused_term = int(rest)
                if word == "RESUME":
                    database.paused_term = 0
                term, number = database.position
                rows = [
                    f"{database.role} {database.term} {term}.{number} "
                    f"{database.paused_term} 0 {database.waiting} "
                    f"{len(database.connections)}"
                ]
            case _:
                return self._error("MALFORMED unknown")
        lines = "".join(f"ROW {row}\r\n" for row in rows)
        return f"{lines}COMPLETE -\r\n".encode() + _ready(self._state, database)

    async def _work(
        self, request_id: str, word: str, rest: str
    ) -> list[str] | str | None:
        database = self._database
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            shape = self._prepared.get(name)
            if shape is None:
                return "NOSTMT unknown"
            word = shape.partition(" ")[0]
        if word == "READ":
            value = self._writes.get(rest, database.values.get(rest, "-"))
            return [value]
        if word == "WRITE":
            if database.role != "primary":
                return "READONLY no primary"
            item, _, data = rest.partition(" ")
            self._writes[item] = data
            if self._state == "T":
                return []
        writes, self._writes = self._writes, {}
        is_failed, self._state = self._state == "E", "I"
        if is_failed:
            return "ABORTED the transaction failed"
        if writes and not await self._service._commit(database, request_id, writes):
            return None
        return []

    def _error(self, text: str) -> bytes:
        if self._state == "T":
            self._state = "E"
        return f"ERROR {text}\r\n".encode() + _ready(self._state, self._database)


def _ready(state: str, database: Database) -> bytes:
    term, number = database.position
    return f"READY {state} {term}.{number}\r\n".encode()
