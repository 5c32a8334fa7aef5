"""Plays requests of organisations against a `DatabasePool` and a modelled database."""

import heapq
import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from goldcrestpond.pool.check_connection import CheckConnection
from goldcrestpond.pool.close_connection import CloseConnection
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.refuse_request import RefuseRequest
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

_MS = timedelta(milliseconds=1)
_TICK_MS = 100
OPENING_MS = 12
CLOSING_MS = 0.5
_CHECK_MS = 1


@dataclass(frozen=True)
class Arrival:
    """One request of an organisation."""

    at_ms: float
    organisation: str
    service_ms: float = 9
    priority: int = 0
    weight: float = 1.0
    wait_ms: float = 1000


@dataclass
class Outcome:
    """What became of the requests, by organisation."""

    waits_ms: dict = field(default_factory=lambda: defaultdict(list))
    refused: Counter = field(default_factory=Counter)
    refusal_delays_ms: list = field(default_factory=list)
    opened_count: int = 0
    hit_count: int = 0

    @property
    def served_count(self):
        return sum(map(len, self.waits_ms.values()))

    @property
    def hit_fraction(self):
        return self.hit_count / max(1, self.served_count)

    def mean_wait_ms(self, *organisations):
        waits = [
            w for name in organisations or self.waits_ms for w in self.waits_ms[name]
        ]
        return sum(waits) / max(1, len(waits))

    def wait_at_ms(self, fraction, *organisations):
        names = organisations or self.waits_ms
        waits = sorted(w for name in names for w in self.waits_ms[name])
        return waits[int(fraction * (len(waits) - 1))] if waits else 0.0

    def served_fraction(self, organisation):
        served = len(self.waits_ms[organisation])
        return served / max(1, served + self.refused[organisation])


class PoolSimulation:
    """A pool, the connections that it opens, and statements that take a known time.

    If ``is_blind``, the pool is not told of organisations, as before it knew them: a
    connection that is granted to another organisation than its last one is first
    replaced, while its request occupies the slot.
    """

    def __init__(self, slot_limit=2, connection_limit=9, is_blind=False):
        settings = PoolSettings(
            slot_limit=slot_limit,
            connection_limit=connection_limit,
            probe_reserve=0,
            idle_timeout=timedelta(seconds=5),
        )
        self.pool = DatabasePool(settings)
        self.outcome = Outcome()
        self._is_blind = is_blind
        self._events = []
        self._order = itertools.count()
        self._arrivals = {}
        self._organisation_of = {}
        self._busy = {}
        self.now_ms = 0.0

    def play(self, arrivals):
        arrivals = sorted(arrivals, key=lambda arrival: arrival.at_ms)
        for number, arrival in enumerate(arrivals):
            self._arrivals[number] = arrival
            self._add(arrival.at_ms, self._arrive, number)
        end_ms = arrivals[-1].at_ms + 2000
        for index in range(int(end_ms / _TICK_MS)):
            self._add(index * _TICK_MS, self._tick)
        while self._events:
            self.now_ms, _, event, arguments = heapq.heappop(self._events)
            self._apply(event(*arguments))
        return self.outcome

    def _add(self, at_ms, event, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), event, arguments))

    def _now(self):
        return self.now_ms * _MS

    def _tick(self):
        for connection_id in self._busy:
            self.pool.record_progress(connection_id, self._now())
        return self.pool.tick(self._now())

    def _arrive(self, number):
        arrival = self._arrivals[number]
        name = "" if self._is_blind else arrival.organisation
        request = SlotRequest(
            number,
            Requester(f"session of {arrival.organisation}", name, arrival.weight),
            Lane.SHORT,
            self._now() + arrival.wait_ms * _MS,
            arrival.priority,
        )
        return self.pool.request(request, self._now())

    def _opened(self, connection_id):
        return self.pool.record_opened(connection_id, self._now())

    def _closed(self, connection_id):
        return self.pool.record_closed(connection_id, self._now())

    def _checked(self, connection_id):
        return self.pool.record_check_result(connection_id, True, self._now())

    def _released(self, connection_id):
        del self._busy[connection_id]
        return self.pool.release(connection_id, True, self._now())

    def _apply(self, actions):
        for action in actions:
            match action:
                case OpenConnection(connection_id, _, organisation):
                    self.outcome.opened_count += 1
                    self._organisation_of[connection_id] = organisation or None
                    self._add(self.now_ms + OPENING_MS, self._opened, connection_id)
                case CloseConnection(connection_id, _):
                    self._add(self.now_ms + CLOSING_MS, self._closed, connection_id)
                case CheckConnection(connection_id):
                    self._add(self.now_ms + _CHECK_MS, self._checked, connection_id)
                case GrantConnection(request_id, connection_id):
                    self._grant(request_id, connection_id)
                case RefuseRequest(request_id):
                    arrival = self._arrivals[request_id]
                    self.outcome.refused[arrival.organisation] += 1
                    delay_ms = self.now_ms - arrival.at_ms
                    self.outcome.refusal_delays_ms.append(delay_ms)

    def _grant(self, request_id, connection_id):
        arrival = self._arrivals[request_id]
        start_ms = self.now_ms
        if self._is_blind:
            known = self._organisation_of[connection_id]
            if known not in (None, arrival.organisation):
                start_ms += OPENING_MS
                self.outcome.opened_count += 1
            else:
                self.outcome.hit_count += known is not None
            self._organisation_of[connection_id] = arrival.organisation
        else:
            self.outcome.hit_count = self.pool.counts.hits
        self.outcome.waits_ms[arrival.organisation].append(start_ms - arrival.at_ms)
        self._busy[connection_id] = request_id
        self._add(start_ms + arrival.service_ms, self._released, connection_id)
