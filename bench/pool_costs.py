"""Measures the cost of the pool's decisions by connections, queue and organisations.

``python -m bench.pool_costs [--repetitions 5] [--turns 5000]`` prints one JSON line
with the time of a turn in microseconds. A turn is one release and one request; the
median, the least and the greatest of the repetitions are given.
"""

import itertools
import time
from datetime import timedelta
from statistics import median

import fire
import msgspec

from goldcrestpond.pool.close_connection import CloseConnection
from goldcrestpond.pool.database_pool import DatabasePool
from goldcrestpond.pool.grant_connection import GrantConnection
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.open_connection import OpenConnection
from goldcrestpond.pool.pool_action import PoolAction
from goldcrestpond.pool.pool_settings import PoolSettings
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest

# Connections of the pool, requests that wait for one, and organisations; with 0 the
# requests name none.
_SIZES = (
    (4, 0, 0),
    (4, 20, 0),
    (4, 200, 0),
    (100, 0, 0),
    (100, 200, 0),
    (9, 0, 3),
    (9, 0, 13),
    (9, 20, 13),
    (100, 200, 80),
    (300, 200, 80),
)
_TIME_STEP = timedelta(microseconds=10)
_DEADLINE = timedelta(hours=1)
_WARM_UP_TURNS = 200


def measure(repetitions: int = 5, turns: int = 5000) -> None:
    """Measure and print one JSON line.

    Parameters
    ----------
    repetitions : int
        Measurements of each size.
    turns : int
        Turns of one measurement.
    """
    steps = []
    for connections, waiting, organisations in _SIZES:
        costs = [
            _measure_turn_us(connections, waiting, organisations, turns)
            for _ in range(repetitions)
        ]
        step = {"connections": connections, "waiting": waiting}
        step |= {"organisations": organisations}
        step |= {"turn_us": round(median(costs), 2)}
        step |= {"least_us": round(min(costs), 2), "greatest_us": round(max(costs), 2)}
        steps.append(step)
    print(msgspec.json.encode({"bench": "pool_costs", "steps": steps}).decode())


class _BusyPool:
    """A pool whose connections are all checked out; the first is released next."""

    def __init__(self, connections: int, organisations: int):
        self._organisations = [f"organisation {n}" for n in range(organisations)]
        settings = PoolSettings(slot_limit=connections, connection_limit=connections)
        self._pool = DatabasePool(settings)
        self._now = timedelta(0)
        self._ids = itertools.count(1)
        self._granted: list[int] = []

    def request(self) -> None:
        """Request a connection."""
        self._now += _TIME_STEP
        number = next(self._ids)
        caller = f"caller-{number % 50}"
        names = self._organisations
        organisation = names[number % len(names)] if names else ""
        requester = Requester(caller, organisation)
        request = SlotRequest(number, requester, Lane.SHORT, _DEADLINE)
        self._apply_actions(self._pool.request(request, self._now))

    def release(self) -> None:
        """Release the connection that was granted first."""
        self._now += _TIME_STEP
        connection_id = self._granted.pop(0)
        self._apply_actions(self._pool.release(connection_id, True, self._now))

    @property
    def granted_count(self) -> int:
        """Number of connections that are checked out."""
        return len(self._granted)

    def _apply_actions(self, actions: list[PoolAction]) -> None:
        for action in actions:
            if isinstance(action, OpenConnection):
                self._apply_actions(
                    self._pool.record_opened(action.connection_id, self._now)
                )
            elif isinstance(action, CloseConnection):
                self._apply_actions(
                    self._pool.record_closed(action.connection_id, self._now)
                )
            elif isinstance(action, GrantConnection):
                self._granted.append(action.connection_id)


def _measure_turn_us(
    connections: int, waiting: int, organisations: int, turns: int
) -> float:
    pool = _BusyPool(connections, organisations)
    for _ in range(connections + waiting):
        pool.request()
    for _ in range(_WARM_UP_TURNS):
        pool.release()
        pool.request()
    started = time.perf_counter()
    for _ in range(turns):
        pool.release()
        pool.request()
    elapsed_s = time.perf_counter() - started
    if not pool.granted_count:
        raise RuntimeError("the pool granted no connection")
    return elapsed_s / turns * 1e6


if __name__ == "__main__":
    fire.Fire(measure)
