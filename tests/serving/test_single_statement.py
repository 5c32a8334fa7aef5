"""Attempts of a statement outside a transaction."""

import random
from datetime import timedelta
from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.pool.requester import Requester
from goldcrestpond.retry.retry_budget import RetryBudget
from goldcrestpond.serving import single_statement
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.single_statement import SingleStatement
from goldcrestpond.serving.stage_times import StageTimes
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState

from ..line_world import ListLog
from .test_leadership import ms
from .test_load_patterns import make_service


class _Link:
    """Link that answers after ``work_s``, by which it also advances the clock."""

    def __init__(self, clock):
        self._clock = clock
        self.values = {}
        self.prepared = {}
        self.state = TransactionState.IDLE
        self.is_broken = False
        self.started_count = 0
        self.failures_left = 0
        self.completed_count = 0
        self.work_s = 0.0
        self.held_back_count = 0

    async def execute(self, statement, shape, min_position):
        self.started_count += 1
        started_at = anyio.current_time()
        try:
            if self.failures_left:
                self.failures_left -= 1
                raise CodedError(ResultCode.ANSWER_INTERRUPTED, "connection lost")
            await anyio.sleep(self.work_s)
        finally:
            self._clock.advance(timedelta(seconds=anyio.current_time() - started_at))
        self.completed_count += 1
        if self.completed_count <= self.held_back_count:
            self._clock.advance(ms(100))
            return Reply(error=ResultCode.NO_PRIMARY)
        return Reply(receipt="r1", position=LogPosition(1, 10))


@pytest.fixture
def world(clock, monkeypatch):
    """A read on a service whose links are checked out after a wait."""
    service = make_service(clock)
    link = _Link(clock)
    for served in service.databases.values():
        served.pool.release = lambda link: None
    waits = SimpleNamespace(queue=ms(0))

    async def check_out_link(*args):
        clock.advance(waits.queue)
        return link

    monkeypatch.setattr(single_statement, "check_out_link", check_out_link)

    async def wait_for_leader(since, deadline):
        return next(iter(service.databases.values()))

    leader_verifier = SimpleNamespace(
        refresh_sample=lambda: None,
        leader_wait_deadline=lambda deadline: deadline,
        wait_for_leader=wait_for_leader,
    )
    directory = SimpleNamespace(
        clock=clock,
        rng=random.Random(1),
        log=ListLog(),
        metrics=Metrics(),
        leader_verifier=lambda name: leader_verifier,
        retry_budget=lambda name: RetryBudget(clock.now()),
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
    write = SingleStatement(
        requester,
        Statement("q2", StatementKind.WRITE, "WRITE a 1", is_write=True),
        SessionState(),
        route,
        service,
        directory,
        StageTimes(clock),
    )
    return SimpleNamespace(
        single=single, write=write, link=link, waits=waits, clock=clock
    )


# Guards against: during a burst, a read that waited longer for its connection than an
# attempt may take is broken off as if the database did not answer.
def test_wait_for_a_connection_does_not_count_towards_the_attempt_timeout(world):
    world.waits.queue = ms(300)
    reply = anyio.run(world.single.run, world.clock.now(), None)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.is_broken, Is(False))


def test_statement_is_not_sent_after_its_deadline(world):
    world.waits.queue = timedelta(seconds=2)
    with pytest.raises(CodedError) as caught:
        anyio.run(world.single.run, world.clock.now(), None)
    assert_that(caught.value.code, Is(ResultCode.QUEUE_DEADLINE))
    assert_that(world.link.completed_count, Equals(0))
    assert_that(world.link.is_broken, Is(False))


# Guards against: a read that takes longer than half of its objective on every database
# times out on each until its deadline, and occupies slots all the while.
def test_timeout_of_a_read_grows_with_each_attempt_that_timed_out(world):
    world.link.work_s = 0.3  # the first attempt may take half of 200 ms

    async def run():
        with anyio.fail_after(3):
            return await world.single.run(world.clock.now(), None)

    reply = anyio.run(run)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.started_count, Equals(3))


def test_attempts_that_fail_at_once_do_not_lengthen_the_timeout(world):
    world.link.failures_left = 3
    world.link.work_s = 0.15  # longer than the first timeout, shorter than twice it

    async def run():
        with anyio.fail_after(3):
            return await world.single.run(world.clock.now(), None)

    reply = anyio.run(run)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.started_count, Equals(5))


# Failure: a write over a connection of a holder that blocks commits is refused at once,
# while those of the holder's own callers wait until the new leader is known.
@pytest.mark.parametrize(("held_back_count", "is_served"), [(3, True), (50, False)])
def test_write_that_a_holder_holds_back_waits(world, held_back_count, is_served):
    world.link.held_back_count = held_back_count
    if is_served:
        reply = anyio.run(world.write.run, world.clock.now(), None)
        assert_that(reply.receipt, Equals("r1"))
        return
    with pytest.raises(CodedError) as caught:
        anyio.run(world.write.run, world.clock.now(), None)
    assert_that(caught.value.code, Is(ResultCode.NO_PRIMARY))
    # Half of its time is left to the caller.
    assert_that(world.link.completed_count, Equals(5))
