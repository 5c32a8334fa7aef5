"""Where work goes under heavy loads; each test names its pattern."""

import random
from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.routing.database_load import DatabaseLoad
from goldcrestpond.serving.recent_latency import HALF_LIFE
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import database, ms


class _Pool:
    """A pool whose load is set by hand."""

    def __init__(self):
        self.running = 0

    def load(self, slots):
        return DatabaseLoad(self.running, 0, 1, slots, 20)


def _service(clock):
    registry = Registry()
    settings = ServingSettings("i1", "z")
    service = Service("s", registry, settings, clock, random.Random(1), ListLog())
    for name in ("leader", "r1", "r2"):
        registry.put(database(name), clock.now())
        service.databases[name] = ServedDatabase(database(name), _Pool())
    clock.advance(ms(1))
    leader = service.databases["leader"]
    service.proved(leader, LogPosition(1, 10), clock.now())
    return service


def _spread(service, floor, count=300):
    """Return how many of so many reads go where."""
    chosen = [service.choose_for_read(floor, ()).database_id for _ in range(count)]
    return {name: chosen.count(name) for name in service.databases}


def test_calm_reads_are_spread_over_replicas_and_spare_the_leader(clock):
    spread = _spread(_service(clock), LogPosition(1, 5))
    assert_that(spread["leader"], Equals(0))
    assert_that(min(spread["r1"], spread["r2"]) > 100, Is(True))


def test_replicas_that_lag_keep_the_reads_of_a_stated_age(clock):
    """Lagging replicas: own commits need the leader, older floors do not."""
    service = _service(clock)
    head, aged = LogPosition(1, 10), LogPosition(1, 5)
    for name in ("r1", "r2"):
        service.lagged(service.databases[name], head)
    assert_that(_spread(service, head)["leader"], Equals(300))
    assert_that(_spread(service, aged)["leader"], Equals(0))


def test_replicas_that_lag_far_behind_are_asked_again_after_a_pause(clock):
    """Deaf replicas: no read is sent there in vain more than now and then."""
    service = _service(clock)
    aged = LogPosition(1, 5)
    for name in ("r1", "r2"):
        service.lagged(service.databases[name], aged)
    assert_that(_spread(service, aged)["leader"], Equals(300))
    clock.advance(timedelta(seconds=1))
    assert_that(_spread(service, aged)["leader"], Equals(0))


def test_database_that_others_load_gets_less(clock):
    """Hot replica: its answers take long, though this instance asks little there."""
    service = _service(clock)
    for _ in range(20):
        service.databases["r1"].latency.observe(ms(300), clock.now())
        service.databases["r2"].latency.observe(ms(30), clock.now())
    assert_that(_spread(service, LogPosition(1, 5))["r1"], Equals(0))
    clock.advance(HALF_LIFE * 10)
    service.databases["r2"].latency.observe(ms(30), clock.now())
    assert_that(_spread(service, LogPosition(1, 5))["r1"] > 50, Is(True))


def test_leader_helps_once_the_replicas_are_full(clock):
    """Burst: what the replicas cannot start at once goes to the leader."""
    service = _service(clock)
    for name in ("r1", "r2"):
        service.databases[name].pool.running = 8
    assert_that(_spread(service, LogPosition(1, 5))["leader"], Equals(300))


def test_failing_database_is_shunned_but_not_the_last(clock):
    """Grey failure: two failures in a row turn the reads away."""
    service = _service(clock)
    for name in ("r1", "r2"):
        for _ in range(2):
            service.databases[name].health.failed(clock.now())
    assert_that(_spread(service, LogPosition(1, 5))["leader"], Equals(300))
    only = service.choose_for_read(LogPosition(1, 5), ("leader", "r2"))
    assert_that(only.database_id, Equals("r1"))
