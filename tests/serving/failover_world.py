"""Instances that replace the leaders of one simulated service, in virtual time.

The decisions are the product's own. Simulated are the databases, the platform's call
that promotes one, the store, the connections, and the callers, which write steadily.
"""

import asyncio
import contextvars
import math
import random
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from unittest import mock

import anyio
import msgspec

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.overload.admission import Admission
from goldcrestpond.pool.requester import Requester
from goldcrestpond.relay.holders import Holders
from goldcrestpond.relay.relay_server import RelayServer
from goldcrestpond.serving.database import Database
from goldcrestpond.serving.database_report import DatabaseReport
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.failover import PromotionRefused
from goldcrestpond.serving.failover_claim import (
    CLAIM_LIFETIME,
    CLAIM_USE_LIMIT,
    ClaimBody,
    ClaimState,
)
from goldcrestpond.serving.failover_claim import TABLE as CLAIM_TABLE
from goldcrestpond.serving.fleet_protocol import PROTOCOL
from goldcrestpond.serving.leader_monitor import LeaderMonitor
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.route_table import RouteTable, ServiceLimits
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.single_statement import SingleStatement
from goldcrestpond.serving.stage_times import StageTimes
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.settings.address import Address
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..virtual_time import PROCESS, LoopClock, Process, run_processes_in_virtual_time
from .fake_rows import FakeRows, FakeRowStore

SERVICE = "s"
LATENCY_S = 0.002  # one way, of each message
REPLICATION_INTERVAL_S = 0.005
ENTRY_EXPIRY_S = 3.0
COPY_S = 0.3  # a new replica takes the whole log
PROMOTION_DELAY_S = (0.6, 1.0)
CALLERS_COUNT = 3  # of each instance
WRITE_PAUSE_S = (0.06, 0.14)  # of each caller
READ_PAUSE_S = 0.05
WRITE_TIMEOUT = timedelta(seconds=1)
TABLE_READ_INTERVAL_S = (0.03, 0.1)
START_S = 0.7  # from when a new database has the log until the replaced one drains
DRAIN_S = 7.5
LEASE_S = (CLAIM_LIFETIME - CLAIM_USE_LIMIT).total_seconds()
NEVER_S = 1e6
# What tells the course of a failover, of the product's log lines.
_TOLD = {
    "chosen without proof",
    "commits held back",
    "leader lost",
    "leader proved",
    "leader suspected",
    "promotion not answered",
    "promotion ordered",
    "replica not resumed",
    "succession given up",
}
_ROUTE = Route(
    "d", SERVICE, ReadPolicy.CURRENT, timedelta(0), WRITE_TIMEOUT, WRITE_TIMEOUT, 0
)
_WRITE = Statement("w", StatementKind.WRITE, "WRITE 1 x", is_write=True)


@dataclass(slots=True, eq=False)
class SimulatedDatabase:
    """One database; the log has a (term, commit id) for each entry."""

    database_id: str
    role: Role = Role.REPLICA
    term: int = 1
    log: list = field(default_factory=list)
    paused_term: int = 0
    started_at_ms: int = 0
    is_running: bool = True
    is_gone: bool = False
    is_deaf: bool = False
    is_draining: bool = False
    is_listed: bool = True
    lag_s: float = 0.0  # time that an entry takes to reach it
    waiting: deque = field(default_factory=deque)  # (number, answer) of unacknowledged

    @property
    def position(self):
        """The last entry; a new leader's has the former term until it commits."""
        return LogPosition(self.log[-1][0] if self.log else 1, len(self.log))

    @property
    def receives(self):
        is_able = self.is_running and not self.is_deaf and not self.paused_term
        return self.role is Role.REPLICA and is_able

    def report(self):
        received = self.position
        return DatabaseReport(self.role, self.term, received, self.paused_term, 0)

    def pause(self, term):
        if self.role is Role.REPLICA and term > self.term:
            self.paused_term = term
        return self.report()

    def resume(self):
        self.paused_term = 0
        return self.report()

    def step_down(self, term):
        if self.role is Role.PRIMARY and term > self.term:
            self.role, self.term = Role.REPLICA, term
            self.waiting.clear()
        return self.report()

    def verify(self):
        if self.role is not Role.PRIMARY:
            return Reply(error=ResultCode.PRIMARY_REPLACED, position=self.position)
        return Reply(position=self.position)

    def receive(self, primary, count):
        """Take over entries of the primary's log, and roll back what it lacks."""
        self.roll_back(primary.log)
        self.log += primary.log[len(self.log) : count]
        self.term = max(self.term, primary.term)

    def roll_back(self, log):
        while self.log and (
            len(self.log) > len(log) or self.log[-1] != log[len(self.log) - 1]
        ):
            self.log.pop()


@dataclass(frozen=True, slots=True)
class Loss:
    """Acknowledged commits that the log of a promoted database lacks.

    ``holders`` are the databases that have them, down or not; without those that are
    gone for good.
    """

    at_s: float
    promoted: str
    commits: tuple
    holders: tuple


class Link:
    """A connection of an instance to a database, as far as this world needs one."""

    def __init__(self, world, instance, database):
        self._world, self._instance, self._database = world, instance, database

    async def ask(self, operation):
        """Have the database run ``operation(answer)``; wait for what it answers."""
        world, database, pair = self._world, self._database, self._pair
        answered, answers = anyio.Event(), []

        def deliver(answer):
            if world.can_reach(*pair):
                answers.append(answer)
                answered.set()

        def arrive():
            if world.can_reach(*pair):
                operation(lambda answer: world.after(LATENCY_S, deliver, answer))

        if world.is_over:
            raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, database.database_id)
        world.after(LATENCY_S, arrive)
        await answered.wait()
        return answers[0]

    @property
    def _pair(self):
        return self._instance, self._database

    def is_quiet(self):
        return True

    async def verify_leader(self):
        return await self.ask(lambda answer: answer(self._database.verify()))

    async def report(self):
        return await self.ask(lambda answer: answer(self._database.report()))

    async def pause_replication(self, term):
        return await self.ask(lambda answer: answer(self._database.pause(term)))

    async def resume_replication(self):
        by, database_id = self._instance.name, self._database.database_id
        self._world.note("resumes", database=database_id, by=by)
        return await self.ask(lambda answer: answer(self._database.resume()))

    async def step_down(self, term):
        return await self.ask(lambda answer: answer(self._database.step_down(term)))

    async def commit(self):
        return await self.ask(lambda answer: self._world.commit(self._database, answer))

    async def aclose(self):
        pass


class _Write(SingleStatement):
    """The product's write, which is run over a `Link` of this world."""

    __slots__ = ("open_link",)

    async def _run_at(self, served, min_position, deadline, timeout):
        with anyio.move_on_after(timeout.total_seconds()):
            return await (await self.open_link(served.database)).commit()
        raise CodedError(ResultCode.ANSWER_INTERRUPTED, served.database_id)


class StoreOfInstance(FakeRowStore):
    """The store's client, whose calls take time."""

    def __init__(self, world, era):
        super().__init__(world.rows, era)
        self._world = world

    async def read(self, table, part=""):
        await anyio.sleep(LATENCY_S)
        answer = await super().read(table, part)
        return replace(answer, now_ms=1000 * self._world.now_s())

    async def write(self, conditions, puts, removals=()):
        await anyio.sleep(LATENCY_S)
        revision = await super().write(conditions, puts, removals)
        self._world.judge_claims([put for put in puts if put.table == CLAIM_TABLE])
        await anyio.sleep(LATENCY_S)
        return revision


class _Stream:
    """One end of a connection between two instances."""

    def __init__(self, outgoing, incoming):
        self._outgoing, self._incoming = outgoing, incoming

    async def send(self, data):
        await self._outgoing.send(data)

    async def receive(self, max_bytes=65536):
        await anyio.sleep(LATENCY_S)
        return await self._incoming.receive()

    def close(self):
        self._outgoing.close()
        self._incoming.close()

    async def aclose(self):
        self.close()

    def extra(self, attribute):
        return mock.Mock()  # a socket without options


class _Log:
    def __init__(self, world, name):
        self._world, self._name = world, name

    def decision(self, event, **fields):
        self._world.lines.append((self._world.now_s(), self._name, event, fields))


class Instance:
    """One process of an instance: it keeps nothing of the one before."""

    def __init__(self, world, name, address):
        self.world, self.name, self.address = world, name, address
        self.process = Process()
        self.rng = random.Random(f"{world.seed} {name} {world.now_s()}")
        self.streams = []

    async def run(self):
        PROCESS.set(self.process)
        clock, log = LoopClock(timedelta(0)), _Log(self.world, self.name)
        async with anyio.create_task_group() as group:
            self.tasks = tasks = SupervisedTasks(group, self.world.report_error)
            era = StoreEra(clock, log, Metrics())
            store = StoreOfInstance(self.world, era)
            self.directory = Directory(
                ServingSettings(self.name, "z1", is_paced=False),
                self.open_link,
                clock,
                self.rng,
                log,
                Metrics(),
                tasks,
                Holders(self.name, clock, tasks, log),
            )
            self.monitor = LeaderMonitor(
                self.name,
                self.directory,
                store,
                era,
                self,
                self.open_link,
                clock,
                log,
                tasks,
            )
            self.relay_server = RelayServer(
                self.directory, None, Admission(clock, tasks)
            )
            limits = ServiceLimits(connection_limit=34, synchronous_replicas=1)
            self.directory.apply_table(RouteTable(1, {}, {SERVICE: limits}))
            self.directory.set_members(self.world.members)
            self.directory.service(SERVICE)
            tasks.start_loop(self.monitor.run)
            tasks.start_loop(self._follow_tables, store, clock)
            for _ in range(CALLERS_COUNT):
                tasks.start_loop(self._write)
            tasks.start_loop(self._read)
            await anyio.sleep_forever()

    async def open_link(self, database, *organisation):
        found = self.world.databases[database.database_id]
        link = Link(self.world, self, found)
        await link.ask(lambda answer: answer(None))
        return link

    async def promote(self, service, database_id, token):
        """Call the platform; the call is made even if this process ends meanwhile."""
        world = self.world
        if world.is_over:
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "over")
        world.judge_call(self.name, token)
        carried_out_s, fails_s = world.next_call()
        answered, statuses = anyio.Event(), []

        def arrive():
            world.late_calls.discard((database_id, token))
            statuses.append(world.accept_promotion(database_id, token))
            answered.set()

        if carried_out_s < NEVER_S:
            world.late_calls.add((database_id, token))

        world.after(carried_out_s, arrive)
        if fails_s is not None:
            await anyio.sleep(fails_s)
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        await answered.wait()
        if statuses[0] == 409:
            raise PromotionRefused(f"{database_id} with token {token}")

    async def serve(self, stream):
        PROCESS.set(self.process)
        await self.relay_server.serve_connection(stream)

    async def _follow_tables(self, store, clock):
        """Deliver the registry, and the other tables that the monitor follows."""
        copies = [getattr(self.monitor, n, None) for n in self.monitor.__slots__]
        entries, registry_due_at = None, clock.now()
        while True:
            is_due = clock.now() >= registry_due_at
            if is_due and entries != self.world.entries():
                registry_due_at = clock.now() + self.world.registry_spacing
                entries = self.world.entries()
                now = clock.now()
                self.directory.registry.replace(entries, now, now)
                self.directory.apply_registry()
            self.directory.remove_unlisted()
            for copy in copies:
                if isinstance(copy, TableCopy):
                    answer = await store.read(copy.table)
                    copy.replace(answer.rows, answer.era, answer.version)
            await anyio.sleep(self.rng.uniform(*TABLE_READ_INTERVAL_S))

    async def _write(self):
        """Write as a caller of this instance does."""
        while True:
            await anyio.sleep(self.rng.uniform(*WRITE_PAUSE_S))
            await self._write_once()

    async def _read(self):
        """Need samples of the leader's position, as the reads of callers do."""
        while True:
            await anyio.sleep(READ_PAUSE_S)
            self.directory.leader_verifier(SERVICE).check_now()

    async def _write_once(self):
        directory, now = self.directory, self.directory.clock.now()
        service, stages = directory.service(SERVICE), StageTimes(directory.clock)
        caller, session = Requester("c"), SessionState()
        write = _Write(caller, _WRITE, session, _ROUTE, service, directory, stages)
        write.open_link = self.open_link
        try:
            reply = await write.run(now, None)
        except CodedError:
            return
        self.world.acknowledge(self.name, reply.receipt)


class FailoverWorld:
    """One service with its databases, and the instances that use it."""

    def __init__(
        self,
        seed,
        instance_count=4,
        database_ids=("d1", "d2", "d3"),
        registry_spacing=timedelta(0),
    ):
        self.seed = seed
        self.registry_spacing = registry_spacing
        self.rng = random.Random(seed)
        self.rows = FakeRows()
        self.lines, self.losses, self.faults, self.errors = [], [], [], []
        self.acknowledged, self.acknowledged_at_s = set(), []
        self.databases = {i: SimulatedDatabase(i) for i in database_ids}
        self.primary = self.databases[database_ids[0]]
        self.primary.role = Role.PRIMARY
        self.members = [
            Member(f"i{n}", "z1", Address("127.0.0.1", n), protocol=PROTOCOL)
            for n in range(1, 1 + instance_count)
        ]
        self.instances = {}
        self.cuts = set()  # pairs of the name of an instance and the id of a database
        self.late_calls = set()  # ids and tokens of those not carried out yet
        self.pending = []  # ids of databases whose promotion was accepted
        self.healed_at_s = self.late_until_s = 0.0
        self.is_over = False
        self._dead = []
        self._next_calls = []
        self._highest_token, self._last_call = 0, None
        self._commit_count = 0
        self._rolled_back = {}

    @asynccontextmanager
    async def running(self):
        self._context = contextvars.copy_context()
        self._loop = asyncio.get_running_loop()
        async with anyio.create_task_group() as self._tasks:
            with mock.patch.object(anyio, "connect_tcp", self._connect):
                self._replicate()
                for member in self.members:
                    self.start(member.name)
                try:
                    yield self
                finally:
                    self.is_over = True
                    for instance in [*self.instances.values(), *self._dead]:
                        instance.process.thaw()
                    self._tasks.cancel_scope.cancel()

    # Time and records.
    def now_s(self):
        return self._loop.time()

    def after(self, delay_s, function, *args):
        """Call a function later, whatever becomes of the process that asks for it."""
        self._loop.call_later(delay_s, function, *args, context=self._context)

    def begin(self, function, *args):
        """Start a task of this world."""
        self._tasks.start_soon(function, *args)

    async def until(self, condition, limit_s=20.0):
        with anyio.fail_after(limit_s):
            while not condition():
                await anyio.sleep(REPLICATION_INTERVAL_S)

    def note(self, event, **fields):
        self.lines.append((self.now_s(), "world", event, fields))

    def report_error(self, task, task_input, error):
        if not self.is_over:
            self.errors.append(f"{task}({task_input}): {error!r}")

    def events(self, event):
        return [fields for _, _, name, fields in self.lines if name == event]

    def story(self):
        told = [line for line in self.lines if line[1] == "world" or line[2] in _TOLD]
        return "\n".join(
            f"{at_s:8.3f} {name} {event} "
            + " ".join(f"{k}={v}" for k, v in fields.items() if k != "service")
            for at_s, name, event, fields in told
        )

    def longest_gap_s(self, since_s):
        """Return the longest time without an acknowledged write since a time."""
        times = [at_s for at_s in self.acknowledged_at_s if at_s >= since_s]
        pairs = zip([since_s, *times], [*times, self.now_s()], strict=True)
        return max(after - before for before, after in pairs)

    # Instances.
    def start(self, name):
        member = next(m for m in self.members if m.name == name)
        self.instances[name] = Instance(self, name, member.address)
        self._tasks.start_soon(self.instances[name].run)

    def kill(self, *names, down_s=0.5):
        """Kill processes at once; others start in their place ``down_s`` later."""
        for name in names:
            instance = self.instances.pop(name, None)
            if instance is None:
                continue
            self.note("killed", instance=name)
            instance.process.is_frozen = True
            self._dead.append(instance)
            for stream in instance.streams:
                stream.close()
            self.after(down_s, self.start, name)

    def freeze(self, name, for_s):
        if name not in self.instances:
            return  # it is about to start
        self.note("frozen", instance=name, for_s=for_s)
        instance = self.instances[name]
        instance.process.is_frozen = True

        def thaw():
            if self.instances.get(name) is instance:
                instance.process.thaw()

        self.after(for_s, thaw)

    def claimant(self):
        """Return the name of the instance that last claimed the service, or ''."""
        rows = self.rows.table(CLAIM_TABLE)
        return msgspec.json.decode(rows[0].value, type=ClaimBody).holder if rows else ""

    async def _connect(self, host, port):
        to_server, to_client = (
            anyio.create_memory_object_stream(math.inf) for _ in range(2)
        )
        await anyio.sleep(LATENCY_S)
        found = [i for i in self.instances.values() if i.address.port == port]
        if not found or self.is_over:
            raise OSError("connection refused")
        stream = _Stream(to_client[0], to_server[1])
        found[0].streams.append(stream)
        found[0].tasks.start_soon(found[0].serve, stream)
        return _Stream(to_server[0], to_client[1])

    # Databases.
    def entries(self):
        return [
            Database(
                each.database_id,
                SERVICE,
                Address("127.0.0.1", 1000 + number),
                "z1",
                5,
                each.is_draining,
                each.role,
                0,
                each.started_at_ms,
            )
            for number, each in enumerate(self.databases.values())
            if each.is_listed
        ]

    def can_reach(self, instance, database):
        is_cut = (instance.name, database.database_id) in self.cuts
        return database.is_running and not is_cut and not self.is_over

    def cut(self, names, database_id):
        self.note("cut", database=database_id, instances=names)
        self.cuts |= {(name, database_id) for name in names}

    def heal(self):
        self.note("healed")
        self.healed_at_s = self.now_s()
        self.cuts.clear()
        for database in self.databases.values():
            database.is_deaf = False

    def deafen(self, database_id):
        self.note("deaf", database=database_id)
        self.databases[database_id].is_deaf = True

    def crash(self, *database_ids, is_gone=False):
        for database_id in database_ids:
            self.note("gone" if is_gone else "crashed", database=database_id)
            database = self.databases[database_id]
            database.is_running, database.is_gone = False, is_gone
            database.waiting.clear()
            self.after(ENTRY_EXPIRY_S, setattr, database, "is_listed", False)

    def restore(self, *database_ids):
        """Start crashed databases again, with their logs and under new ids."""
        for database_id in database_ids:
            former = self.databases[database_id]
            started = self._start_database(f"{database_id}'", log=list(former.log))
            started.term, former.is_gone = former.term, True
            if self.primary is former:
                self.primary, started.role = started, Role.PRIMARY

    def restart_empty(self, database_id):
        """Start a crashed database again under its id, without its log."""
        self._start_database(database_id, lag_s=self.databases[database_id].lag_s)

    async def release(self, database_id, new_id, lag_s=0.0):
        """Replace a database: a new one has the log before it is listed."""
        await anyio.sleep(COPY_S)
        started = self._start_database(new_id, log=list(self.primary.log), lag_s=lag_s)
        started.term = self.primary.term
        await anyio.sleep(START_S)
        replaced = self.databases[database_id]
        self.note("drains", database=database_id)
        replaced.is_draining = True
        await anyio.sleep(DRAIN_S)
        await self.until(lambda: replaced is not self.primary, NEVER_S)
        self.note("ended", database=database_id)
        replaced.is_running = replaced.is_listed = False
        replaced.is_gone = True

    def start_replica(self, database_id):
        """Start a new replica, which receives commits once it has copied the log."""
        started = self._start_database(database_id, is_deaf=True)
        self.after(COPY_S, setattr, started, "is_deaf", False)

    def _start_database(self, database_id, **state):
        self.note("started", database=database_id)
        started_at_ms = 1 + int(1000 * self.now_s())
        started = SimulatedDatabase(database_id, started_at_ms=started_at_ms, **state)
        self.databases[database_id] = started
        return started

    def commit(self, database, answer):
        if database is not self.primary or database.role is not Role.PRIMARY:
            answer(Reply(error=ResultCode.PRIMARY_REPLACED))
            return
        self._commit_count += 1
        database.log.append((database.term, self._commit_count))
        database.waiting.append((len(database.log), answer))

    def _replicate(self):
        """Send the primary's log to its replicas; answer commits that one has."""
        self.after(REPLICATION_INTERVAL_S, self._replicate)
        primary = self.primary
        if not primary.is_running or primary.role is not Role.PRIMARY:
            return
        replicas = [d for d in self.databases.values() if d is not primary]
        for replica in replicas:
            if replica.lag_s:
                sent = (primary, replica, len(primary.log))
                self.after(replica.lag_s, self._deliver, *sent)
            elif replica.receives:
                replica.receive(primary, len(primary.log))
        running = [replica.log for replica in replicas if replica.is_running]
        while primary.waiting:
            number, answer = primary.waiting[0]
            entry = primary.log[number - 1]
            if not any(log[number - 1 : number] == [entry] for log in running):
                break
            primary.waiting.popleft()
            position = LogPosition(entry[0], number)
            answer(Reply(receipt=str(entry[1]), position=position))

    def _deliver(self, primary, replica, count):
        is_fed = primary.is_running and primary.role is Role.PRIMARY
        if is_fed and replica.receives and len(replica.log) < count:
            replica.receive(primary, count)

    # Promotions, and what is judged.
    def lose_answers(self, count, late_s, wait_s, is_added=False):
        """Let the next calls fail after a wait; carry them out later, or never."""
        earlier = self._next_calls if is_added else []
        self._next_calls = earlier + [(late_s, wait_s)] * count

    def next_call(self):
        """Return when the next call is carried out, and when it fails, if it does."""
        if not self._next_calls:
            return LATENCY_S, None
        late_s, wait_s = self._next_calls.pop(0)
        if late_s is None:
            return NEVER_S, wait_s
        self.late_until_s = max(self.late_until_s, self.now_s() + late_s)
        return late_s, wait_s

    def judge_call(self, name, token):
        now_s = self.now_s()
        former_name, former_token, at_s = self._last_call or (name, token, now_s)
        is_other = name != former_name
        if token < former_token or is_other and token == former_token:
            self.faults.append(f"{name} used {token} after {former_token}")
        if is_other and now_s - at_s < LEASE_S:
            self.faults.append(f"{name} took its turn {now_s - at_s:.2f} s later")
        self._last_call = (name, token, now_s)

    def judge_claims(self, puts):
        """Fault a claim that is recorded as ended while a promotion may follow."""
        if not any(
            msgspec.json.decode(put.value, type=ClaimBody).state == ClaimState.ENDED
            for put in puts
        ):
            return
        later = {i for i, token in self.late_calls if token >= self._highest_token}
        left = sorted((later | set(self.pending)) - {self.primary.database_id})
        if left:
            self.faults.append(f"claim ended while {left} may be promoted")

    def paused(self):
        """Return the ids of replicas that run and are paused."""
        running = [d for d in self.databases.values() if d.is_running]
        return [d.database_id for d in running if d.paused_term]

    def accept_promotion(self, database_id, token):
        """Carry a call out; return the status with which it is answered."""
        database = self.databases[database_id]
        is_accepted = token >= self._highest_token and database.is_running
        self.note("call", database=database_id, token=token, accepted=is_accepted)
        if not is_accepted:
            return 409
        self._highest_token = token
        if database is not self.primary:
            self.pending.append(database_id)
            self.after(self.rng.uniform(*PROMOTION_DELAY_S), self._promote, database)
        return 200

    def _promote(self, database):
        self.pending.remove(database.database_id)
        if not database.is_running or database is self.primary:
            return
        self.note("promoted", database=database.database_id, position=database.position)
        known = {commit for _, commit in database.log}
        logs = {
            i: {commit for _, commit in each.log}
            for i, each in self.databases.items()
            if not each.is_gone
        }
        for i, log in logs.items():
            self._rolled_back |= dict.fromkeys(log - known, i)
        self._judge_loss(database.database_id, self.acknowledged - known, logs)
        self.primary.role = Role.REPLICA
        self.primary.waiting.clear()
        self.primary = database
        database.role = Role.PRIMARY
        database.term = 1 + max(each.term for each in self.databases.values())
        for each in self.databases.values():
            if each.is_running:
                each.paused_term = 0

    def _judge_loss(self, promoted, lost, logs):
        if not lost:
            return
        self.acknowledged -= lost
        holders = tuple(i for i, log in logs.items() if log & lost)
        loss = Loss(self.now_s(), promoted, tuple(sorted(lost)), holders)
        self.losses.append(loss)
        self.note("lost", commits=len(lost), holders=holders)

    def has_lost_logs(self):
        """Return whether acknowledged commits are in no log that is still there."""
        logs = [each.log for each in self.databases.values() if not each.is_gone]
        kept = {commit for log in logs for _, commit in log}
        return bool(self.acknowledged - kept)

    def acknowledge(self, name, receipt):
        """Record that a caller was told that its commit is kept."""
        commit = int(receipt)
        self.acknowledged.add(commit)
        self.acknowledged_at_s.append(self.now_s())
        if commit in self._rolled_back:
            holder = self._rolled_back[commit]
            self._judge_loss(self.primary.database_id, {commit}, {holder: {commit}})


def play(script, seed=1, **more):
    """Run a script over a world in which writes go on; return the world."""
    world = FailoverWorld(seed, **more)

    async def body():
        async with world.running():
            await world.until(lambda: len(world.acknowledged_at_s) > 20)
            await script(world)

    run_processes_in_virtual_time(body)
    return world
