"""Instances that follow the tables of one store over a network that can be cut."""

import random
from datetime import timedelta

import anyio

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.relay import messages
from goldcrestpond.serving.follower_list import FollowerList
from goldcrestpond.serving.member_updater import MemberUpdater
from goldcrestpond.serving.members import TABLE as MEMBER_TABLE
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.row_store import HistoryLost
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.serving.table_feed import TableFeed
from goldcrestpond.settings.address import Address
from goldcrestpond.tables.table_follower import TableFollower
from goldcrestpond.tables.table_server import TableServer
from goldcrestpond.tables.table_times import make_table_times
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from ..serving.fake_rows import FakeRows, FakeRowStore
from ..virtual_time import LoopClock

APPLY_LIMIT = timedelta(seconds=3)
TABLE = "op"
ROUND_TRIP_S = 0.004
MESSAGE_S = 0.001
LOST_CALL_S = 1.5
_MEMBER_WAIT = timedelta(seconds=4)


class Store(FakeRowStore):
    """One instance's connection to the rows; calls that it makes are counted."""

    def __init__(self, world, name, era):
        super().__init__(world.rows, era)
        self._world = world
        self._name = name

    async def _reach(self):
        self._world.calls[self._name] = self._world.calls.get(self._name, 0) + 1
        await anyio.sleep(ROUND_TRIP_S)
        if self._world.is_store_cut(self._name):
            await anyio.sleep(LOST_CALL_S)
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")

    async def read(self, table, part=""):
        await self._reach()
        return await super().read(table, part)

    async def wait_for_changes(self, table, after, wait):
        await self._reach()
        era = self.rows.era
        with anyio.move_on_after(wait.total_seconds()):
            while self.rows.era == era:
                if any(row.version > after for row in self.rows.table(table)):
                    break
                await self._world.changed.wait()
        if self._world.is_store_cut(self._name):
            await anyio.sleep(LOST_CALL_S)
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "no answer")
        if self.rows.era != era or after > self.rows.version:
            raise HistoryLost
        return await super().wait_for_changes(table, after, wait)

    async def write(self, conditions, puts, removals=()):
        await self._reach()
        revision = await super().write(conditions, puts, removals)
        self._world.notify()
        return revision


class Instance:
    """One process; what it applies is kept in ``applied`` with the time."""

    def __init__(self, world, name, zone, tasks):
        self.world = world
        self.name = name
        self.log = ListLog()
        self.applied = []
        self.members = []
        self.clock = LoopClock()
        rng = random.Random(name)
        era = StoreEra(self.clock, self.log, Metrics())
        store = Store(world, name, era)
        supervised = SupervisedTasks(tasks, self._fail)
        followers = FollowerList()
        member = Member(name, zone, Address("127.0.0.1", 7440), 20)
        self.updater = MemberUpdater(
            member,
            store,
            era,
            self._set_members,
            followers,
            lambda: self.follower.lists_followers,
            lambda: self.follower.is_reading,
            self.clock,
            rng,
            self.log,
        )
        self.copy = TableCopy(
            TABLE,
            self._apply,
            self._apply,
            offer=self._apply,
            is_older=lambda known, value: int(value) < int(known),
        )
        members = TableCopy(MEMBER_TABLE, self.updater.replace, self.updater.update)
        self.member_copy = members
        times = make_table_times(world.apply_limit, world.proof_limit)
        member_wait = times.store_wait if world.proof_limit else _MEMBER_WAIT
        age_limits = {TABLE: times.max_age}
        if world.proof_limit:
            age_limits[MEMBER_TABLE] = times.max_age
        feeds = [
            TableFeed(
                store,
                copy,
                lambda: timedelta(milliseconds=50),
                wait,
                self.clock,
                rng,
                self.log,
                confirms_first=times.is_proof_limited,
            )
            for copy, wait in [(self.copy, times.store_wait), (members, member_wait)]
        ]
        self.follower = TableFollower(
            lambda: self.updater.member,
            lambda: self.updater.live,
            feeds,
            age_limits,
            TABLE,
            MEMBER_TABLE,
            self._ask,
            followers,
            era,
            times,
            self.clock,
            rng,
            self.log,
            Metrics(),
            supervised,
        )
        self.server = TableServer(
            [self.copy, members],
            followers,
            lambda: self.follower.reader,
            self.clock,
            self.log,
        )
        self.follower.on_reader_change = self.server.notify
        supervised.start_soon(self.follower.run)
        supervised.start_soon(self.updater.run)

    @property
    def configuration(self):
        """Version of the configuration in force; 0 if none."""
        return self.applied[-1][1] if self.applied else 0

    def _apply(self, rows):
        for row in rows:
            version = int(row.value)
            if version > self.configuration:
                self.applied.append((anyio.current_time(), version))

    def _set_members(self, members):
        self.members = [member.name for member in members]
        self.follower.notify_members()

    def _fail(self, task, task_input, error):
        raise error

    async def _ask(self, peer, request, limit):
        with anyio.move_on_after(limit.total_seconds()):
            await anyio.sleep(MESSAGE_S)
            target = self.world.instances.get(peer.name)
            if target is None:
                raise CodedError(ResultCode.PEER_UNREACHABLE, "refused")
            if not self.world.is_link_cut(self.name, peer.name):
                answer = await target.server.answer(request)
                await anyio.sleep(MESSAGE_S)
                is_same = self.world.instances.get(peer.name) is target
                if is_same and not self.world.is_link_cut(self.name, peer.name):
                    return messages.decode_response(messages.encode(answer)[4:])
            await anyio.sleep_forever()
        raise CodedError(ResultCode.PEER_UNREACHABLE, "no answer in time")


class FleetWorld:
    """The store, the instances, and which paths between them are cut."""

    def __init__(self, count, zones, tasks, proof_limit=None, apply_limit=APPLY_LIMIT):
        self.apply_limit = apply_limit
        self.proof_limit = proof_limit
        self.rows = FakeRows()
        self.changed = anyio.Event()
        self.calls = {}
        self.instances = {}
        self.written = []
        self._names = {f"i{n}": f"z{n % zones}" for n in range(count)}
        self._scopes = {}
        self._tasks = tasks
        self._cut_from_store = set()
        self._cut_links = set()
        self.configure()

    @property
    def names(self):
        return list(self._names)

    def notify(self):
        self.changed.set()
        self.changed = anyio.Event()

    def is_store_cut(self, name):
        return name in self._cut_from_store

    def is_link_cut(self, first, second):
        return frozenset((first, second)) in self._cut_links

    def configure(self):
        """Write the next version of the configuration."""
        version = len(self.written) + 1
        self.written.append((anyio.current_time(), version))
        self.rows.put(TABLE, "config", str(version).encode())
        self.notify()

    def restore(self):
        """Restore the store from its last copy; the operator writes again at once."""
        self.rows.restore_copy()
        self.notify()
        self.configure()

    def start(self, name):
        if name not in self.instances:
            self._tasks.start_soon(self._run, name)

    def kill(self, name):
        if name in self.instances:
            del self.instances[name]
            self._scopes.pop(name).cancel()

    def cut_store(self, names):
        self._cut_from_store |= set(names)

    def cut_links(self, pairs):
        self._cut_links |= {frozenset(pair) for pair in pairs}

    def heal(self):
        self._cut_from_store = set()
        self._cut_links = set()

    def readers(self):
        return [n for n, i in self.instances.items() if i.follower.is_reading]

    def total_calls(self):
        return sum(self.calls.values())

    async def _run(self, name):
        async with anyio.create_task_group() as tasks:
            self._scopes[name] = tasks.cancel_scope
            self.instances[name] = Instance(self, name, self._names[name], tasks)


async def run_fleet(count, zones, body, *limits):
    """Run ``body(world)`` with a fleet that has started at once and settled."""
    async with anyio.create_task_group() as tasks:
        world = FleetWorld(count, zones, tasks, *limits)
        for name in world.names:
            world.start(name)
        await anyio.sleep(8)
        await body(world)
        tasks.cancel_scope.cancel()
