"""Where work goes under heavy loads; each test names its pattern."""

import random
from collections import Counter
from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.lane_queues import LaneQueues
from goldcrestpond.pool.lane_slots import LaneSlots
from goldcrestpond.pool.slot_request import SlotRequest
from goldcrestpond.routing.database_load import DatabaseLoad
from goldcrestpond.serving.link_checkout import queue_deadline
from goldcrestpond.serving.recent_latency import HALF_LIFE
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.route import ReadPolicy, Route
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
    service.record_leader_verified(leader, LogPosition(1, 10), clock.now())
    return service


def _spread(service, min_position, count=300):
    """Return how many of so many reads go where."""
    chosen = [
        service.choose_for_read(min_position, ()).database_id for _ in range(count)
    ]
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
        service.record_missing_position(service.databases[name], head)
    assert_that(_spread(service, head)["leader"], Equals(300))
    assert_that(_spread(service, aged)["leader"], Equals(0))


def test_replicas_that_lag_far_behind_are_asked_again_after_a_pause(clock):
    """Deaf replicas: no read is sent there in vain more than now and then."""
    service = _service(clock)
    aged = LogPosition(1, 5)
    for name in ("r1", "r2"):
        service.record_missing_position(service.databases[name], aged)
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
            service.databases[name].health.record_failure(clock.now())
    assert_that(_spread(service, LogPosition(1, 5))["leader"], Equals(300))
    only = service.choose_for_read(LogPosition(1, 5), ("leader", "r2"))
    assert_that(only.database_id, Equals("r1"))


_OVERLOAD_ROUTE = Route(
    "d", "s", ReadPolicy.OWN_WRITES, ms(2500), ms(1000), ms(400), priority=2
)


def _play_overload(limit_of, seconds=20, slots=2, work_ms=20, every_ms=8, urgent=0):
    """Return the parts of requests that are on time, late and refused.

    Every ``urgent``-th one has a higher priority; only these are counted then.
    """
    queues = LaneQueues(LaneSlots(slots, 1))
    ends, arrived, outcome = [], {}, Counter()

    def counts(number):
        return not urgent or number % (every_ms * urgent) == 0

    for now_ms in range(seconds * 1000):
        now = ms(now_ms)
        for end_ms, number in [e for e in ends if e[0] <= now_ms]:
            ends.remove((end_ms, number))
            queues.finish(Lane.SHORT, ms(work_ms))
            is_late = now_ms - arrived[number] > _OVERLOAD_ROUTE.objective / ms(1)
            outcome["late" if is_late else "on time"] += counts(number)
        refused = [refusal.request_id for refusal in queues.refuse_late(now)]
        if now_ms % every_ms == 0:
            arrived[now_ms] = now_ms
            priority = 2 - (urgent > 0 and counts(now_ms))
            request = SlotRequest(now_ms, "c", Lane.SHORT, limit_of(now), priority)
            if queues.submit(request, now) is not None:
                refused.append(now_ms)
        outcome["refused"] += sum(map(counts, refused))
        while queues.has_next():
            ends.append((now_ms + work_ms, queues.next_request().request_id))
    total = sum(outcome.values())
    return {name: outcome[name] / total for name in ("on time", "late", "refused")}


def test_lasting_overload_by_a_quarter_leaves_most_requests_on_time():
    """One leader has all reads while its replicas lag far behind: 1.25 of its slots."""
    deadline = _OVERLOAD_ROUTE.timeout

    def limit(now):
        return queue_deadline(_OVERLOAD_ROUTE, now, now + deadline, now)

    short = _play_overload(limit)
    assert_that(short["on time"] > 0.7, Is(True), short)
    assert_that(short["late"] < 0.05, Is(True), short)
    # Queues as long as the deadlines let nearly everybody be late.
    long = _play_overload(lambda now: now + deadline)
    assert_that(long["on time"] < 0.2, Is(True), long)


def test_urgent_requests_are_on_time_under_lasting_overload():
    """The same, where every sixth request is a pump attendant's."""

    def limit(now):
        return queue_deadline(_OVERLOAD_ROUTE, now, now + _OVERLOAD_ROUTE.timeout, now)

    urgent = _play_overload(limit, urgent=6)
    assert_that(urgent["on time"] > 0.95, Is(True), urgent)


def test_whoever_waited_for_a_leader_still_gets_a_turn_behind_the_new_one():
    """Late already when the leader is back, all at once."""
    now = ms(10_000)
    deadline = now + ms(300)
    limit = queue_deadline(_OVERLOAD_ROUTE, now - ms(700), deadline, now)
    assert_that(limit, Equals(now + ms(100)))
    assert_that(
        queue_deadline(_OVERLOAD_ROUTE, now, now + ms(50), now), Equals(now + ms(50))
    )
