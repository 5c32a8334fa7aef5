"""Attempts at one statement."""

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
from goldcrestpond.retry.retry_budget import RetryBudget
from goldcrestpond.serving import single_statement
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.single_statement import SingleStatement
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState

from ..line_world import ListLog
from .test_leadership import ms
from .test_load_patterns import _service


class _Link:
    """Answers after some work, which the clock follows."""

    def __init__(self, clock):
        self._clock = clock
        self.values = {}
        self.prepared = {}
        self.state = TransactionState.IDLE
        self.is_broken = False
        self.begun = 0
        self.failures = 0
        self.runs = 0
        self.work_s = 0.0

    async def execute(self, statement, shape, min_position):
        self.begun += 1
        began = anyio.current_time()
        try:
            if self.failures:
                self.failures -= 1
                raise CodedError(ResultCode.ANSWER_INTERRUPTED, "connection lost")
            await anyio.sleep(self.work_s)
        finally:
            self._clock.advance(timedelta(seconds=anyio.current_time() - began))
        self.runs += 1
        return Reply(receipt="r1", position=LogPosition(1, 10))


@pytest.fixture
def world(clock, monkeypatch):
    """A read on a service whose connections are lent after a wait."""
    service = _service(clock)
    link = _Link(clock)
    for served in service.databases.values():
        served.pool.release = lambda link: None
    waits = SimpleNamespace(queue=ms(0))

    async def check_out_link(*args):
        clock.advance(waits.queue)
        return link

    monkeypatch.setattr(single_statement, "check_out_link", check_out_link)
    leader_verifier = SimpleNamespace(refresh_sample=lambda: None)
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
    single = SingleStatement("c1", statement, SessionState(), route, service, directory)
    return SimpleNamespace(single=single, link=link, waits=waits, clock=clock)


def test_wait_for_a_connection_is_not_taken_for_a_silent_database(world):
    """Burst: a read that waited for half of its objective runs all the same."""
    world.waits.queue = ms(300)
    reply = anyio.run(world.single.run, world.clock.now(), None)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.is_broken, Is(False))


def test_statement_is_not_begun_after_its_time(world):
    world.waits.queue = timedelta(seconds=2)
    with pytest.raises(CodedError) as caught:
        anyio.run(world.single.run, world.clock.now(), None)
    assert_that(caught.value.code, Is(ResultCode.QUEUE_DEADLINE))
    assert_that(world.link.runs, Equals(0))
    assert_that(world.link.is_broken, Is(False))


# Guards against: a read that takes longer than half of its objective on any database
# is given up everywhere, until its time is over, and holds slots all along.
def test_long_read_among_short_ones_is_given_longer_with_each_attempt(world):
    world.link.work_s = 0.3  # an attempt begins with half of 200 ms

    async def run():
        with anyio.fail_after(3):
            return await world.single.run(world.clock.now(), None)

    reply = anyio.run(run)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.begun, Equals(3))


def test_attempts_that_break_off_at_once_give_the_next_no_longer(world):
    world.link.failures = 3
    world.link.work_s = 0.15  # longer than one attempt, shorter than two

    async def run():
        with anyio.fail_after(3):
            return await world.single.run(world.clock.now(), None)

    reply = anyio.run(run)
    assert_that(reply.receipt, Equals("r1"))
    assert_that(world.link.begun, Equals(5))
