"""Databases of one service, as the platform's page PROTOCOL describes them."""

import asyncio
import itertools
import time

PROMOTE_S = 1.0  # the site files give 1,000 ms a promote
OPEN_S = 0.012  # what a new connection takes
WORK_S = 0.004
HEARTBEAT_S = 1.2
SILENT_INTERVALS = 3  # after so many, the store drops an entry
_RECEIPTS = itertools.count(1)


class Entry:
    """One commit in a log.

    Attributes
    ----------
    position : tuple of int
        Term and number.
    writes : list of tuple of str
        Request id, item and data of each write.
    """

    def __init__(self, position, writes):
        self.position = position
        self.writes = writes


class Database:
    """State of one database and its listener.

    Attributes
    ----------
    role : str
        ``primary`` or ``replica``.
    log : list of Entry
        What it has received.
    is_reachable : asyncio.Event
        Cleared while its machine is cut off from the instances.
    """

    def __init__(self, group, database_id, role, zone, receive_s):
        self.group = group
        self.database_id = database_id
        self.role = role
        self.zone = zone
        self.receive_s = receive_s
        self.term = group.term
        self.log = []
        self.held_term = 0
        self.is_running = True
        self.state = "ready"
        self.sequence = 0
        self.last_beat = 0.0
        self.port = 0
        self.is_reachable = asyncio.Event()
        self.is_reachable.set()
        self.writers = set()
        self.busy = 0
        self._server = None

    @property
    def position(self):
        """Position of the last entry."""
        return self.log[-1].position if self.log else (1, 0)

    async def start(self, port=0):
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 21, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """End the process: all connections break."""
        self.is_running = False
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.group.notify()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await _Session(self, reader, writer).run()
        except (OSError, asyncio.IncompleteReadError, CrashedError):
            pass
        except asyncio.CancelledError:
            pass  # the run is over
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class CrashedError(Exception):
    """The database ended, or lost the lead, before a commit was acknowledged."""


class Group:
    """The databases of one service.

    Attributes
    ----------
    term : int
        Newest term.
    databases : dict of str to Database
        Running databases, and crashed ones that will be back.
    runs : list of tuple of str
        Database, request id and text of each statement of a caller that ran.
    promotions : list of dict
        Promotions in effect, with the commits that the new log lacks.
    """

    def __init__(self, service, record):
        self.service = service
        self.term = 1
        self.databases = {}
        self.runs = []
        self.promotions = []
        self.long_items = {}  # lines of the answer, by item
        self.acknowledged = {}  # request id of each write whose commit was answered
        self.record = record
        self._changed = asyncio.Event()

    def add(self, database_id, role="replica", zone="z1", receive_s=0.0005):
        """Add a database; it has to be started."""
        database = Database(self, database_id, role, zone, receive_s)
        self.databases[database_id] = database
        return database

    @property
    def primary(self):
        """The database that leads, running or not; None if there is none."""
        for database in self.databases.values():
            if database.role == "primary":
                return database
        return None

    def notify(self):
        """Wake the commits that wait for a replica."""
        self._changed.set()
        self._changed = asyncio.Event()

    def replicate(self):
        """Send what the primary has to each replica."""
        primary = self.primary
        if primary is None or not primary.is_running:
            return
        loop = asyncio.get_running_loop()
        for replica in self.databases.values():
            if replica is not primary:
                count = len(primary.log)
                loop.call_later(
                    replica.receive_s, self._deliver, primary, replica, count
                )

    def _deliver(self, primary, replica, count):
        if self.primary is not primary or not primary.is_running:
            return
        if not replica.is_running or replica.held_term:
            return
        kept = min(len(replica.log), len(primary.log))
        while kept and replica.log[kept - 1] is not primary.log[kept - 1]:
            kept -= 1
        del replica.log[kept:]
        replica.log += primary.log[kept : max(kept, count)]
        replica.term = self.term
        self.notify()

    async def commit(self, database, writes):
        """Append a commit; return once a replica has received it."""
        entry = Entry((database.term, database.position[1] + 1), writes)
        database.log.append(entry)
        number = len(database.log)
        self.replicate()
        while True:
            if not database.is_running or database.role != "primary":
                raise CrashedError
            for replica in self.databases.values():
                if replica is database or len(replica.log) < number:
                    continue
                if replica.log[number - 1] is entry:
                    return
            await self._changed.wait()

    def promote(self, database_id):
        """Make a database the primary of the next term, with what it has."""
        chosen = self.databases.get(database_id)
        if chosen is None or not chosen.is_running or chosen.role == "primary":
            return
        self.term += 1
        former = self.primary
        for database in self.databases.values():
            database.role = "replica"
            database.held_term = 0
        chosen.role, chosen.term = "primary", self.term
        kept = {request for entry in chosen.log for request, _, _ in entry.writes}
        lost = {r: at for r, at in self.acknowledged.items() if r not in kept}
        for request in lost:
            del self.acknowledged[request]
        self.promotions.append({"database": database_id, "lost": lost})
        self.record(
            f"{self.service}: {database_id} leads term {self.term}, log up to "
            f"{chosen.position}; former {former and former.database_id} has "
            f"{former and former.position}; acknowledged and not in its log: "
            f"{len(lost)}"
        )
        self.replicate()
        self.notify()

    def crash(self, database_id):
        """Let a database end without a word."""
        self.databases[database_id].stop()

    async def restart(self, database_id, new_id):
        """Let a crashed database come back with its log, at its address."""
        old = self.databases.pop(database_id)
        database = self.add(new_id, old.role, old.zone, old.receive_s)
        database.log, database.term = list(old.log), old.term
        await database.start(old.port)
        self.replicate()
        return database

    def remove(self, database_id):
        """Let a database end for good; its log is gone."""
        self.databases.pop(database_id).stop()


class _Session:
    """One connection to a database."""

    def __init__(self, database, reader, writer):
        self.database = database
        self.group = database.group
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.is_plain = False
        self.pending = []
        self.prepared = {}

    async def run(self):
        """Answer requests until the connection ends."""
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            await self.database.is_reachable.wait()
            word, _, rest = line.partition(" ")
            if word == "CONNECT":
                fields = rest.split(" ")
                is_named = fields[0] == self.group.service
                if not is_named or fields[2:] not in ([], [self.database.database_id]):
                    self._send("ERROR WRONGNODE another\r\n")
                    await self.writer.drain()
                    return
                await asyncio.sleep(OPEN_S)
                self._send(f"READY I {self._position()}\r\n")
            elif word == "QUERY":
                request, _, text = rest.partition(" ")
                lines = await self._answer(request, text)
                if lines[-1].startswith("ERROR") and self.state == "T":
                    self.state = "E"
                lines.append(f"READY {self.state} {self._position()}")
                await self.database.is_reachable.wait()
                self._send("".join(f"{each}\r\n" for each in lines))
            else:
                return
            await self.writer.drain()

    def _send(self, text):
        self.writer.write(text.encode("latin-1"))

    def _position(self):
        return "{}.{}".format(*self.database.position)

    async def _answer(self, request, text):
        database = self.database
        word, _, rest = text.partition(" ")
        if word == "SINCE":
            position, _, text = rest.partition(" ")
            if database.position < tuple(map(int, position.split("."))):
                return ["ERROR LAGGING behind"]
            word, _, rest = text.partition(" ")
        if self.state == "E" and word != "ROLLBACK":
            return ["ERROR MALFORMED the transaction failed"]
        is_lost = self.is_plain and database.role != "primary"
        if (
            self.state == "T"
            and is_lost
            and not (word == "COMMIT" and not self.pending)
        ):
            return [f"ERROR READONLY {database.database_id}"]
        run = getattr(self, f"_do_{word.lower()}", None)
        if run is None:
            return ["ERROR MALFORMED unknown"]
        database.busy += 1
        try:
            lines = await run(request, rest)
        finally:
            database.busy -= 1
        if not database.is_running:
            raise CrashedError
        if lines and lines[-1].startswith("ERROR"):
            return lines
        if request == "-":
            return [*lines, "COMPLETE -"]
        self.group.runs.append((database.database_id, request, text))
        return [*lines, f"COMPLETE r{next(_RECEIPTS)}"]

    async def _do_begin(self, request, rest):
        if not rest and self.database.role != "primary":
            return [f"ERROR READONLY {self.database.database_id}"]
        self.state, self.is_plain = "T", not rest
        return []

    async def _do_commit(self, request, rest):
        writes, self.pending = self.pending, []
        if writes:
            await self._commit(writes)
        self.state, self.is_plain = "I", False
        return []

    async def _commit(self, writes):
        await self.group.commit(self.database, writes)
        for each, _, _ in writes:
            self.group.acknowledged[each] = time.monotonic()

    async def _do_rollback(self, request, rest):
        self.pending = []
        self.state, self.is_plain = "I", False
        return []

    async def _do_read(self, request, rest):
        await asyncio.sleep(WORK_S)
        if rest in self.group.long_items:
            return self.group.long_items[rest]
        for entry in reversed(self.database.log):
            for _, item, data in reversed(entry.writes):
                if item == rest:
                    return [f"ROW {data}"]
        return ["ROW -"]

    async def _do_write(self, request, rest):
        if self.database.role != "primary":
            return [f"ERROR READONLY {self.database.database_id}"]
        await asyncio.sleep(WORK_S)
        item, _, data = rest.partition(" ")
        if self.state == "T":
            self.pending.append((request, item, data))
        else:
            await self._commit([(request, item, data)])
        return []

    async def _do_set(self, request, rest):
        return []

    async def _do_reset(self, request, rest):
        self.prepared.clear()
        return []

    async def _do_prepare(self, request, rest):
        name, kind, _ = rest.split(" ", 2)
        self.prepared[name] = kind
        return []

    async def _do_execute(self, request, rest):
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            return ["ERROR NOSTMT unknown"]
        run = self._do_write if self.prepared[name] == "WRITE" else self._do_read
        return await run(request, arguments)

    async def _do_status(self, request, rest):
        database = self.database
        position = self._position()
        row = (
            f"ROW {database.role} {database.term} {position} {database.held_term} 0 "
            f"{database.busy - 1} {len(database.writers)}"
        )
        return [row]

    async def _do_pause(self, request, rest):
        if int(rest) > self.group.term and self.database.role == "replica":
            self.database.held_term = int(rest)
        return await self._do_status(request, "")

    async def _do_resume(self, request, rest):
        self.database.held_term = 0
        self.group.replicate()
        return await self._do_status(request, "")

    async def _do_stepdown(self, request, rest):
        if self.database.role == "primary" and self.database.term < int(rest):
            self.database.role = "replica"
            self.group.notify()
        return await self._do_status(request, "")
