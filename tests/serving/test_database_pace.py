"""Where a pace begins, and how the choice of a database heeds it."""

import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.placement.rendezvous import compute_weight
from goldcrestpond.pool.pace_reason import PaceReason
from goldcrestpond.pool.requester import Requester
from goldcrestpond.relay.holders import Holders
from goldcrestpond.retry.retry_budget import RetryBudget
from goldcrestpond.routing.database_load import DatabaseLoad
from goldcrestpond.serving import single_statement
from goldcrestpond.serving.database_pace import make_database_pace
from goldcrestpond.serving.directory import Directory
from goldcrestpond.serving.endpoint_health import (
    INITIAL_AVOIDANCE,
    MAX_AVOIDANCE,
    MAX_PACED_AVOIDANCE,
)
from goldcrestpond.serving.members import Member
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.route_table import RouteTable, ServiceLimits
from goldcrestpond.serving.served_database import ServedDatabase
from goldcrestpond.serving.serving_settings import ServingSettings
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.single_statement import SingleStatement
from goldcrestpond.serving.stage_times import StageTimes
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState
from goldcrestpond.settings.address import Address
from goldcrestpond.tasks.supervised_tasks import SupervisedTasks

from ..line_world import ListLog
from .test_leadership import database, ms
from .test_load_patterns import count_reads_by_database, make_service

POSITION = LogPosition(1, 5)


@pytest.fixture
def service(clock):
    """A service with a leader and two replicas, none of them paced yet."""
    service = make_service(clock)
    for name, served in list(service.databases.items()):
        pace = make_database_pace(service, name, lambda: True)
        service.databases[name] = ServedDatabase(served.database, served.pool, pace)
    return service


def _begin(service, *names):
    for name in names:
        service.databases[name].pace.begin(PaceReason.LISTED, ms(0))


def _set_load(served, **fields):
    def load(slots, organisation=""):
        return DatabaseLoad(0, 0, 1, slots, 20, **fields)

    served.pool.load = load


# Guards against: writes are refused or delayed for the sake of the leader's pace.
def test_leader_is_never_spared(service):
    assert_that(service.can_spare("leader"), Is(False))
    assert_that(service.can_spare("r1"), Is(True))


# Guards against: after a start of all databases each one leaves the work to the others.
def test_nothing_is_left_to_databases_that_are_paced_failing_or_leaving(service, clock):
    _begin(service, "leader")
    assert_that(service.can_spare("r1"), Is(True))
    for _ in range(2):
        service.databases["r2"].health.record_failure(clock.now())
    assert_that(service.can_spare("r1"), Is(False))
    clock.advance(INITIAL_AVOIDANCE)
    assert_that(service.can_spare("r1"), Is(True))
    service._registry.put(replace(database("r2"), is_draining=True), clock.now())
    assert_that(service.can_spare("r1"), Is(False))


# Failure: at the peak of the demand reads are refused for the sake of a database that
# has just come back, though the others have queues.
def test_nothing_is_left_to_databases_at_which_requests_wait(service):
    for name in ("leader", "r2"):
        served = service.databases[name]
        served.pool.load = lambda slots, organisation="": DatabaseLoad(
            slots, 1, 0, slots, 20
        )
    assert_that(service.can_spare("r1"), Is(False))


def test_pace_begins_with_a_new_leader_but_not_with_the_first(service, clock):
    clock.advance(ms(10))
    first, second = service.databases["leader"], service.databases["r1"]
    service.record_leader_verified(first, LogPosition(1, 11), clock.now())
    assert_that(first.pace.is_active, Is(False))
    clock.advance(ms(10))
    service.record_leader_verified(second, LogPosition(2, 11), clock.now())
    assert_that(second.pace.is_active, Is(True))
    event, fields = next(line for line in service.log.lines if "pace" in line[0])
    named = (event, fields["service"], fields["database"], fields["reason"])
    assert_that(named, Equals(("pace begun", "s", "r1", "leader")))


# Guards against: reads queue at a database whose window is full while another is free.
def test_database_whose_window_is_full_is_passed_over_if_another_can_serve(service):
    _set_load(service.databases["r1"], is_full=True)
    assert_that(count_reads_by_database(service, POSITION)["r1"], Equals(0))
    only = service.choose_for_read(POSITION, ("leader", "r2"))
    assert_that(only.database_id, Equals("r1"))


# Failure: the window of this holder's own pool is full, or due, and steers the reads of
# an organisation whose home is elsewhere; these never change that pool.
def test_load_is_that_of_the_pool_which_serves_the_organisation(service):
    replica = service.databases["r1"]
    names = [f"o{n}" for n in range(20)]
    home = next(n for n in names if compute_weight(n, "r1") > compute_weight(n, "r2"))

    def load(slots, organisation=""):
        return DatabaseLoad(0, 0, 1, slots, 20, is_full=organisation != home)

    replica.pool.load = load
    excluded = ("leader",)
    # Organisations differ in the database that they prefer.
    chosen = {
        name: service.choose_for_read(POSITION, excluded, name).database_id
        for name in names
    }
    assert_that(chosen.pop(home), Equals("r1"))
    assert_that(set(chosen.values()), Equals({"r2"}))
    nameless = {
        service.choose_for_read(POSITION, excluded).database_id for _ in range(50)
    }
    assert_that(nameless, Equals({"r2"}))


# Guards against: a paced database is left idle because its answers were slow.
def test_paced_database_that_is_due_gets_the_next_read(service, clock):
    service.databases["r1"].latency.observe(ms(900), clock.now())
    _set_load(service.databases["r1"], is_due=True)
    service.databases["r2"].latency.observe(ms(20), clock.now())
    assert_that(count_reads_by_database(service, POSITION)["r1"], Equals(300))


# Guards against: all instances send all of their reads to a database that they know
# nothing of yet.
def test_database_without_answers_gets_its_part_of_the_reads(service, clock):
    service.databases["leader"].latency.observe(ms(30), clock.now())
    service.databases["r1"].latency.observe(ms(20), clock.now())
    count = count_reads_by_database(service, POSITION)["r2"]
    assert_that(70 < count < 130, Is(True), count)
    service.databases["r2"].latency.observe(ms(40), clock.now())
    assert_that(count_reads_by_database(service, POSITION)["r2"], Equals(0))


# Guards against: a refusal, which is quick, makes the database that refused the most
# attractive one.
def test_refusal_for_a_pace_only_raises_the_expected_latency(service, clock):
    latency = service.databases["r1"].latency
    latency.observe_paced(ms(13), clock.now())
    assert_that(latency.is_known, Is(False))
    latency.observe(ms(40), clock.now())
    latency.observe_paced(ms(13), clock.now())
    assert_that(latency.estimate(clock.now()), Equals(ms(40)))
    latency.observe_paced(ms(80), clock.now())
    assert_that(latency.estimate(clock.now()), Equals(ms(45)))


def test_failed_statements_are_forgotten_sooner_where_holders_pace(service, clock):
    paced = service.databases["r1"]
    bare = ServedDatabase(paced.database, paced.pool)
    for _ in range(10):
        paced.record_failed_statement(clock.now())
        bare.record_failed_statement(clock.now())
    later = clock.now() + MAX_PACED_AVOIDANCE
    assert_that(paced.health.is_avoided(later), Is(False))
    assert_that(bare.health.is_avoided(later), Is(True))
    assert_that(bare.health.is_avoided(clock.now() + MAX_AVOIDANCE), Is(False))
    # A database that cannot be reached is not paced.
    for _ in range(10):
        paced.health.record_failure(clock.now())
    assert_that(paced.health.is_avoided(later), Is(True))


class _Link:
    state = TransactionState.IDLE
    is_broken = False

    def __init__(self):
        self.values, self.prepared = {}, {}

    async def execute(self, statement, shape, min_position):
        return Reply(receipt="r", position=LogPosition(1, 10))


def _read(service, clock, monkeypatch, refusing):
    """Run a read while databases refuse it for their pace; return who was asked."""
    asked = []
    budget = RetryBudget(clock.now())
    while budget.try_withdraw(clock.now()):
        pass  # no retries are left

    async def check_out_link(served, *args):
        asked.append(served.database_id)
        if served.database_id in refusing:
            raise CodedError(ResultCode.ENDPOINT_BUSY, "paced", 20)
        return _Link()

    monkeypatch.setattr(single_statement, "check_out_link", check_out_link)
    for served in service.databases.values():
        served.pool.release = lambda link: None
    directory = SimpleNamespace(
        clock=clock,
        rng=random.Random(1),
        log=ListLog(),
        metrics=Metrics(),
        leader_verifier=lambda name: SimpleNamespace(refresh_sample=lambda: None),
        retry_budget=lambda name: budget,
    )
    route = Route("d", "s", ReadPolicy.BOUNDED, ms(1500), ms(1000), ms(200), 1)
    statement = Statement("q1", StatementKind.READ, "READ a")
    requester = Requester("c1")
    single = SingleStatement(
        requester,
        statement,
        SessionState(),
        route,
        service,
        directory,
        StageTimes(clock),
    )
    return asked, lambda: anyio.run(single.run, clock.now(), None)


# Guards against: reads that a holder refuses for the pace of one database use up the
# retries, or are refused to the caller, though another database is free.
def test_read_refused_for_a_pace_goes_to_another_database(service, clock, monkeypatch):
    asked, run = _read(service, clock, monkeypatch, ("r1", "r2"))
    assert_that(run().error, Is(None))
    assert_that(sorted(asked), Equals(["leader", "r1", "r2"]))


def test_read_refused_by_all_ends_with_the_refusal(service, clock, monkeypatch):
    asked, run = _read(service, clock, monkeypatch, ("leader", "r1", "r2"))
    with pytest.raises(CodedError) as raised:
        run()
    assert_that(raised.value.code, Is(ResultCode.ENDPOINT_BUSY))
    assert_that(Counter(asked), Equals(Counter(["leader", "r1", "r2"])))


_MEMBER = Member("i1", "z1", Address("127.0.0.1", 1))
_OTHERS = [Member(f"o{number}", "z1", Address("h", 1)) for number in range(40)]


def _run_directory(body, is_paced=True):
    async def run():
        async with anyio.create_task_group() as tasks:
            clock, log = ManualClock(ms(1000)), ListLog()
            supervised = SupervisedTasks(tasks)
            settings = ServingSettings("i1", "z1", is_paced=is_paced)
            directory = Directory(
                settings,
                None,
                clock,
                random.Random(1),
                log,
                Metrics(),
                supervised,
                Holders("i1", clock, supervised, log),
            )
            directory.apply_table(RouteTable(1, {}, {"s": ServiceLimits(48, 1)}))
            body(directory)
            tasks.cancel_scope.cancel()

    anyio.run(run)


def _list(directory, *databases):
    for listed in databases:
        directory.registry.put(listed, directory.clock.now())
    directory.apply_registry()


def _reasons(directory):
    return [f["reason"] for event, f in directory.log.lines if event == "pace begun"]


# Guards against: a database that restarted under its id gets all work at once.
def test_holder_paces_databases_that_are_listed_or_reborn():
    def body(directory):
        directory.set_members([_MEMBER])
        _list(directory, database("d1"), database("d2"))
        assert_that(_reasons(directory), Equals(["listed"] * 2))
        for served in directory.services["s"].databases.values():
            served.pace.stop()
        _list(directory, replace(database("d1"), started_at_ms=7))
        assert_that(_reasons(directory), Equals(["listed"] * 3))
        gauges = directory.gauges()
        label = '{service="s",database="d1"}'
        assert_that(gauges, Contains(f"endpoint_pace_window{label}"))
        label = '{service="s",database="d2"}'
        assert_that(gauges, Not(Contains(f"endpoint_pace_window{label}")))

    _run_directory(body)


def test_instance_paces_once_it_becomes_a_holder_and_while_it_is_one():
    def body(directory):
        directory.set_members(_OTHERS)  # this instance is not among them
        _list(directory, database("d1"))
        assert_that(_reasons(directory), Equals([]))
        directory.set_members([_MEMBER])
        assert_that(_reasons(directory), Equals(["holder"]))
        pace = directory.services["s"].databases["d1"].pace
        assert_that(pace.is_active, Is(True))
        directory.set_members(_OTHERS)
        assert_that(pace.is_active, Is(False))

    _run_directory(body)


def test_nothing_is_paced_if_it_is_switched_off():
    def body(directory):
        directory.set_members([_MEMBER])
        _list(directory, database("d1"))
        assert_that(_reasons(directory), Equals([]))

    _run_directory(body, is_paced=False)
