"""Model of callers, holders and databases in virtual time; no input or output.

The decisions are those of the product: `Service` chooses, `DatabasePool` queues and
`Pace` limits. The model plays the databases, the callers and the time.
"""

import heapq
import itertools
import random
from collections import deque
from datetime import timedelta

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.pool.close_connection import CloseConnection
from goldcrestpond.pool.compute_start_delay import compute_start_delay
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pace_reason import PaceReason
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest
from goldcrestpond.serving.connection_share import statement_share
from goldcrestpond.serving.database import Database
from goldcrestpond.serving.database_pace import make_database_pace
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.settings.address import Address

from ..line_world import ListLog

SLOTS = 5
WORK_MS = 20
CONNECT_MS = 12
CONNECT_TIMEOUT_MS = 600
ATTEMPT_MS = 200  # an attempt at a read is given up after this time
DEADLINE_MS = 1000
SLOW_MS = 200  # a caller calls a later answer slow
POSITION = LogPosition(1, 1)


class ModelDatabase:
    """Runs ``SLOTS`` statements at once, and queues the others in order.

    ``work_ms`` and ``fails`` get the time in ms; ``fails`` tells whether a statement
    that starts then is refused after its work.
    """

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.work_ms = lambda now_ms: WORK_MS
        self.fails = lambda now_ms: False
        self.is_dark = lambda now_ms: False
        self.running_count, self.queue = 0, deque()
        self.queued_at = []  # (time, number of statements beyond the slots)
        self.answered_at = []

    def submit(self, finish, work_ms=None):
        self.queue.append((finish, work_ms))
        self._start()
        self.queued_at.append((self.world.now_ms, len(self.queue)))

    def max_queued(self, since_ms, until_ms):
        counts = [n for at, n in self.queued_at if since_ms <= at < until_ms]
        return max(counts, default=0)

    def answered_count(self, since_ms, until_ms):
        return sum(since_ms <= at < until_ms for at in self.answered_at)

    def _start(self):
        while self.queue and self.running_count < SLOTS:
            self.running_count += 1
            finish, work_ms = self.queue.popleft()
            now = self.world.now_ms
            takes_ms = self.work_ms(now) if work_ms is None else work_ms
            self.world.after(takes_ms, self._end, finish, self.fails(now))

    def _end(self, finish, has_failed):
        self.running_count -= 1
        if not self.is_dark(self.world.now_ms):
            if not has_failed:
                self.answered_at.append(self.world.now_ms)
            finish(has_failed)
        self._start()


class _Pool:
    """Carries out the actions of one `DatabasePool` at a model database."""

    def __init__(self, world, database, decisions):
        self.world, self.database, self.decisions = world, database, decisions
        self.waiting = {}

    def load(self, slots, organisation=""):
        return self.decisions.load(slots, self.world.clock.now())

    def request(self, request, on_granted, on_refused):
        self.waiting[request.request_id] = (on_granted, on_refused)
        self.apply(self.decisions.request(request, self.world.clock.now()))

    def release(self, connection_id, is_reusable, has_refused=False):
        if has_refused:
            self.decisions.record_refusal(connection_id)
        now = self.world.clock.now()
        self.apply(self.decisions.release(connection_id, is_reusable, now))

    def apply(self, actions):
        for action in actions:
            match action:
                case OpenConnection(connection_id):
                    self._open(connection_id)
                case GrantConnection(request_id, connection_id):
                    self.waiting.pop(request_id)[0](connection_id)
                case RefuseRequest(request_id, code):
                    self.waiting.pop(request_id)[1](code)
                case CloseConnection(connection_id):
                    now = self.world.clock.now()
                    self.apply(self.decisions.record_closed(connection_id, now))
                case _:  # checks of idle connections succeed at once
                    now = self.world.clock.now()
                    self.apply(
                        self.decisions.record_check_result(
                            action.connection_id, True, now
                        )
                    )

    def _open(self, connection_id):
        is_opening = True

        def finish(_has_failed):
            nonlocal is_opening
            if is_opening:
                is_opening = False
                now = self.world.clock.now()
                self.apply(self.decisions.record_opened(connection_id, now))

        def give_up():
            nonlocal is_opening
            if is_opening:
                is_opening = False
                now = self.world.clock.now()
                self.apply(
                    self.decisions.record_open_failure(connection_id, False, now)
                )

        self.database.submit(finish, CONNECT_MS)
        self.world.after(CONNECT_TIMEOUT_MS, give_up)


class PacedLoad:
    """Holders of one service whose databases are ``leader``, ``r1`` and ``r2``."""

    def __init__(self, paced, holder_count, seed=1):
        self.clock = ManualClock()
        self.now_ms, self._events, self._ids = 0, [], itertools.count(1)
        self.rng = random.Random(seed)
        self.paced, self.holder_count = paced, holder_count
        self.databases = {n: ModelDatabase(self, n) for n in ("leader", "r1", "r2")}
        self.latencies = []  # (time of the answer, latency in ms)
        self.refused_count = self.lost_attempts_count = 0
        self.log = ListLog()
        self.registry = Registry()
        self.services = [self._make_service(rank) for rank in range(holder_count)]

    def _make_service(self, rank):
        settings = ServingSettings(f"i{rank}", "z", is_paced=self.paced)
        return Service("s", self.registry, settings, self.clock, self.rng, self.log)

    def list_database(self, name):
        """Let all holders learn that a database has started."""
        for rank, service in enumerate(self.services):
            role = Role.PRIMARY if name == "leader" else Role.REPLICA
            database = Database(
                name, "s", Address("h", 1), "z", SLOTS, False, role, 0, 1
            )
            self.registry.put(database, self.clock.now())
            pace = None
            if self.paced:
                pace = make_database_pace(service, name, lambda: True)
            limit = statement_share(64, SLOTS, self.holder_count)
            settings = PoolSettings(
                slot_limit=limit, connection_limit=limit, probe_reserve=0
            )
            pool = _Pool(self, self.databases[name], DatabasePool(settings, pace=pace))
            served = ServedDatabase(database, pool, pace)
            service.databases[name] = served
            served.pace.begin(
                PaceReason.LISTED, self.clock.now(), compute_start_delay(rank)
            )

    def set_leader(self, name, number=1):
        for service in self.services:
            position = LogPosition(number, 1)
            served = service.databases[name]
            service.record_leader_verified(served, position, self.clock.now())

    def after(self, delay_ms, function, *args):
        event = (self.now_ms + delay_ms, next(self._ids), function, args)
        heapq.heappush(self._events, event)

    def send_reads(self, since_ms, until_ms, per_s):
        for index in range(int((until_ms - since_ms) * per_s / 1000)):
            self.after(since_ms - self.now_ms + index * 1000 / per_s, self._send, None)

    def send_write(self, at_ms, leader):
        self.after(at_ms - self.now_ms, self._send, leader)

    def run(self, until_ms):
        """Play all events up to a time, and tick the pools."""
        while self.now_ms < until_ms:
            tick_ms = self.now_ms + 100
            while self._events and self._events[0][0] <= tick_ms:
                at_ms, _, function, args = heapq.heappop(self._events)
                self._set_time(at_ms)
                function(*args)
            self._set_time(tick_ms)
            for service in self.services:
                for served in service.databases.values():
                    served.pool.apply(served.pool.decisions.tick(self.clock.now()))

    def _set_time(self, at_ms):
        self.clock.advance(timedelta(milliseconds=at_ms - self.now_ms))
        self.now_ms = at_ms

    def _send(self, database):
        service = self.services[self.rng.randrange(self.holder_count)]
        self._attempt(service, database, self.now_ms, set())

    def _attempt(self, service, database, arrived_ms, excluded):
        if self.now_ms >= arrived_ms + DEADLINE_MS:
            self.refused_count += 1
            return
        if database is not None:
            served = service.databases[database]
        else:
            served = service.choose_for_read(POSITION, excluded)
            if served is None:
                self.after(10, self._attempt, service, database, arrived_ms, set())
                return
        name = served.database_id

        def refuse(code):
            if code is ResultCode.ENDPOINT_UNREACHABLE:
                served.health.record_failure(self.clock.now())
            if code is ResultCode.ENDPOINT_BUSY and database is None:
                self._attempt(service, database, arrived_ms, excluded | {name})
            else:
                self.after(10, self._attempt, service, database, arrived_ms, set())

        deadline = timedelta(milliseconds=arrived_ms + DEADLINE_MS)
        deadline += self.clock.now() - timedelta(milliseconds=self.now_ms)
        request = SlotRequest(next(self._ids), Requester("c"), Lane.SHORT, deadline)
        served.pool.request(
            request,
            lambda c: self._run(service, served, c, database, arrived_ms),
            refuse,
        )

    def _run(self, service, served, connection_id, database, arrived_ms):
        sent_ms = self.now_ms
        is_open = True

        def finish(has_failed):
            nonlocal is_open
            if not is_open:
                return
            is_open = False
            now = self.clock.now()
            served.pool.release(connection_id, True, has_failed)
            if has_failed:
                self.lost_attempts_count += 1
                self._attempt(service, database, arrived_ms, set())
                return
            served.health.record_success()
            served.latency.observe(timedelta(milliseconds=self.now_ms - sent_ms), now)
            self.latencies.append((self.now_ms, self.now_ms - arrived_ms))

        def give_up():
            nonlocal is_open
            if not is_open:
                return
            is_open = False
            self.lost_attempts_count += 1
            served.record_failed_statement(self.clock.now())
            served.pool.release(connection_id, False)
            self._attempt(service, database, arrived_ms, set())

        self.databases[served.database_id].submit(finish)
        if database is None:
            self.after(ATTEMPT_MS, give_up)

    def slow_count(self, since_ms, until_ms):
        """Count the callers that were answered slowly, or not, in a time."""
        answered = [ms for at, ms in self.latencies if since_ms <= at < until_ms]
        return sum(ms > SLOW_MS for ms in answered) + self.refused_count
