"""Choice of databases and lengths of queues under heavy load."""

import random
from collections import Counter
from datetime import timedelta

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.pool.lane import Lane
from goldcrestpond.pool.lane_queues import LaneQueues
from goldcrestpond.pool.lane_slots import LaneSlots
from goldcrestpond.pool.requester import Requester
from goldcrestpond.pool.slot_request import SlotRequest
from goldcrestpond.routing.database_load import DatabaseLoad
from goldcrestpond.serving.link_checkout import compute_queue_deadline
from goldcrestpond.serving.recent_latency import HALF_LIFE
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import database, ms


class _Pool:
    """Pool whose load the test sets."""

    def __init__(self):
        self.running = 0

    def load(self, slots, organisation=""):
        return DatabaseLoad(self.running, 0, 1, slots, 20)

    def service_time(self, organisation=""):
        return timedelta(milliseconds=20)


def make_service(clock):
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


def count_reads_by_database(service, min_position, count=300):
    """Return how many of ``count`` reads each database gets."""
    chosen = [
        service.choose_for_read(min_position, ()).database_id for _ in range(count)
    ]
    return {name: chosen.count(name) for name in service.databases}


def test_reads_without_load_are_spread_over_the_replicas(clock):
    spread = count_reads_by_database(make_service(clock), LogPosition(1, 5))
    assert_that(spread["leader"], Equals(0))
    assert_that(min(spread["r1"], spread["r2"]) > 100, Is(True))


# Guards against: replicas that lag a little behind lose all reads to the leader, though
# only reads of a session's last commit need it.
def test_replicas_that_lag_keep_the_reads_with_a_maximum_age(clock):
    service = make_service(clock)
    head, aged = LogPosition(1, 10), LogPosition(1, 5)
    for name in ("r1", "r2"):
        service.record_missing_position(service.databases[name], head)
    assert_that(count_reads_by_database(service, head)["leader"], Equals(300))
    assert_that(count_reads_by_database(service, aged)["leader"], Equals(0))


# Guards against: every read is first refused by replicas that receive nothing, or they
# get no reads again after they have caught up.
def test_replicas_that_lag_far_behind_are_asked_again_after_a_pause(clock):
    service = make_service(clock)
    aged = LogPosition(1, 5)
    for name in ("r1", "r2"):
        service.record_missing_position(service.databases[name], aged)
    assert_that(count_reads_by_database(service, aged)["leader"], Equals(300))
    clock.advance(timedelta(seconds=1))
    assert_that(count_reads_by_database(service, aged)["leader"], Equals(0))


# Guards against: a replica that other instances load keeps its share of the reads,
# because this instance runs little there.
def test_replica_with_slow_answers_gets_fewer_reads(clock):
    service = make_service(clock)
    for _ in range(20):
        service.databases["r1"].latency.observe(ms(300), clock.now())
        service.databases["r2"].latency.observe(ms(30), clock.now())
    assert_that(count_reads_by_database(service, LogPosition(1, 5))["r1"], Equals(0))
    clock.advance(HALF_LIFE * 10)
    service.databases["r2"].latency.observe(ms(30), clock.now())
    assert_that(
        count_reads_by_database(service, LogPosition(1, 5))["r1"] > 50, Is(True)
    )


# Guards against: in a burst, reads queue at full replicas while the leader has slots.
def test_leader_gets_reads_once_the_replicas_are_full(clock):
    service = make_service(clock)
    for name in ("r1", "r2"):
        service.databases[name].pool.running = 8
    assert_that(
        count_reads_by_database(service, LogPosition(1, 5))["leader"], Equals(300)
    )


# Guards against: a replica that is listed but fails its requests keeps its reads.
def test_failing_database_is_avoided_unless_it_is_the_only_one(clock):
    service = make_service(clock)
    for name in ("r1", "r2"):
        for _ in range(2):
            service.databases[name].health.record_failure(clock.now())
    assert_that(
        count_reads_by_database(service, LogPosition(1, 5))["leader"], Equals(300)
    )
    only = service.choose_for_read(LogPosition(1, 5), ("leader", "r2"))
    assert_that(only.database_id, Equals("r1"))


_OVERLOAD_ROUTE = Route(
    "d", "s", ReadPolicy.OWN_WRITES, ms(2500), ms(1000), ms(400), priority=2
)


def simulate_overload(
    get_queue_deadline, seconds=20, slots=2, work_ms=20, every_ms=8, urgent=0
):
    """Return the shares of requests that are on time, late and refused.

    If ``urgent`` is set, every ``urgent``-th request has a higher priority, and only
    these requests are counted.
    """
    queues = LaneQueues(LaneSlots(slots, 1))
    running, arrived, outcome = [], {}, Counter()

    def is_counted(number):
        return not urgent or number % (every_ms * urgent) == 0

    for now_ms in range(seconds * 1000):
        now = ms(now_ms)
        for end_ms, number in [e for e in running if e[0] <= now_ms]:
            running.remove((end_ms, number))
            queues.finish(Lane.SHORT, ms(work_ms))
            is_late = now_ms - arrived[number] > _OVERLOAD_ROUTE.objective / ms(1)
            outcome["late" if is_late else "on time"] += is_counted(number)
        refused = [refusal.request_id for refusal in queues.refuse_late(now)]
        if now_ms % every_ms == 0:
            arrived[now_ms] = now_ms
            priority = 2 - (urgent > 0 and is_counted(now_ms))
            request = SlotRequest(
                now_ms, Requester("c"), Lane.SHORT, get_queue_deadline(now), priority
            )
            if queues.submit(request, now) is not None:
                refused.append(now_ms)
        outcome["refused"] += sum(map(is_counted, refused))
        while queues.has_next():
            running.append((now_ms + work_ms, queues.next_request().request_id))
    total = sum(outcome.values())
    return {name: outcome[name] / total for name in ("on time", "late", "refused")}


# Guards against: while all replicas lag far behind, a leader gets all reads, 1.25 times
# what its slots can run, and nearly all of them are late.
def test_lasting_overload_by_a_quarter_leaves_most_requests_on_time():
    deadline = _OVERLOAD_ROUTE.timeout

    def get_limit(now):
        return compute_queue_deadline(_OVERLOAD_ROUTE, now, now + deadline, now)

    bounded = simulate_overload(get_limit)
    assert_that(bounded["on time"] > 0.7, Is(True), bounded)
    assert_that(bounded["late"] < 0.05, Is(True), bounded)
    # Where only the deadlines bound the queues, nearly all requests are late.
    unbounded = simulate_overload(lambda now: now + deadline)
    assert_that(unbounded["on time"] < 0.2, Is(True), unbounded)


# Guards against: under the same overload, requests of a higher priority are late too.
def test_urgent_requests_are_on_time_under_lasting_overload():

    def get_limit(now):
        return compute_queue_deadline(
            _OVERLOAD_ROUTE, now, now + _OVERLOAD_ROUTE.timeout, now
        )

    urgent = simulate_overload(get_limit, urgent=6)
    assert_that(urgent["on time"] > 0.95, Is(True), urgent)


# Guards against: statements that waited for a leader until after their objective are
# refused when it is back, since they all arrive there at once.
def test_statement_past_its_objective_may_still_wait_for_a_connection():
    now = ms(10_000)
    deadline = now + ms(300)
    limit = compute_queue_deadline(_OVERLOAD_ROUTE, now - ms(700), deadline, now)
    assert_that(limit, Equals(now + ms(100)))
    assert_that(
        compute_queue_deadline(_OVERLOAD_ROUTE, now, now + ms(50), now),
        Equals(now + ms(50)),
    )
