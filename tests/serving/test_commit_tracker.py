"""Tests of acknowledged-commit tracking and of blocked commits in one instance."""

import random
from dataclasses import replace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.commit_block import CommitBlock
from goldcrestpond.serving.commit_tracker import (
    BLOCK_LIFETIME,
    BLOCK_LIMIT,
    CommitTracker,
)
from goldcrestpond.serving.failover import LATE_ORDER_LIMIT
from goldcrestpond.serving.failover_claim import CLAIM_USE_LIMIT
from goldcrestpond.serving.highest_acknowledged import (
    InstanceAnswer,
    combine_acknowledged,
)
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import ms

_BLOCK = CommitBlock("s", 7, "")


@pytest.fixture
def clock():
    return ManualClock(ms(10_000))


@pytest.fixture
def service(clock):
    settings = ServingSettings("i1", "z")
    return Service("s", Registry(), settings, clock, random.Random(1), ListLog())


def _position(number):
    return LogPosition(1, number)


async def _commit(number):
    return Reply(position=_position(number))


def test_first_leader_position_covers_commits_of_an_earlier_process():
    commit_tracker = CommitTracker()
    assert_that(commit_tracker.acknowledged, Is(None))
    commit_tracker.record_leader_position(_position(4))
    commit_tracker.record_leader_position(_position(9))
    assert_that(commit_tracker.acknowledged, Equals(_position(4)))
    commit_tracker.record_answer(_position(7))
    commit_tracker.record_answer(_position(6))
    assert_that(commit_tracker.acknowledged, Equals(_position(7)))


# Guards against: a leader that returns under another id acknowledges commits while its
# successor's promotion is pending, since the block was only for the former leader.
def test_block_applies_whichever_database_leads_until_the_candidate_does():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(_BLOCK, ms(0))
    assert_that(commit_tracker.is_blocked(ms(1)), Is(True))
    commit_tracker.record_leader("d1 under a new id", ms(2))
    assert_that(commit_tracker.is_blocked(ms(3)), Is(True))
    commit_tracker.block_commits(replace(_BLOCK, candidate_id="d2"), ms(4))
    commit_tracker.record_leader("d1 under a new id", ms(5))
    assert_that(commit_tracker.is_blocked(ms(6)), Is(True))
    commit_tracker.record_leader("d2", ms(7))
    assert_that(commit_tracker.is_blocked(ms(8)), Is(False))


def test_leader_check_from_before_the_block_does_not_end_it():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(replace(_BLOCK, candidate_id="d2"), ms(4))
    commit_tracker.record_leader("d2", ms(3))
    assert_that(commit_tracker.is_blocked(ms(5)), Is(True))


# Guards against: commits are sent again while an order that got no answer may still be
# carried out, since nobody could renew the block.
def test_block_lasts_as_long_as_an_order_may_be_carried_out():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(_BLOCK, ms(0))
    assert_that(commit_tracker.is_unrenewed(ms(1000), ms(1001)), Is(False))
    assert_that(commit_tracker.is_unrenewed(ms(1000), ms(1000)), Is(True))
    commit_tracker.block_commits(_BLOCK, ms(900))
    assert_that(commit_tracker.is_unrenewed(ms(1000), ms(1000)), Is(False))
    assert_that(commit_tracker.is_blocked(ms(899) + BLOCK_LIMIT), Is(True))
    assert_that(commit_tracker.is_blocked(ms(900) + BLOCK_LIMIT), Is(False))
    assert_that(BLOCK_LIMIT >= LATE_ORDER_LIMIT + CLAIM_USE_LIMIT, Is(True))


def test_block_of_a_former_release_expires_sooner():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(CommitBlock("s", 0, "d1"), ms(0))
    assert_that(commit_tracker.is_blocked(BLOCK_LIFETIME), Is(False))
    commit_tracker.block_commits(_BLOCK, BLOCK_LIFETIME)
    commit_tracker.block_commits(CommitBlock("s", 0, "d1"), BLOCK_LIFETIME)
    assert_that(commit_tracker.is_blocked(2 * BLOCK_LIFETIME), Is(True))


# Guards against: an instance that reads an open claim after the block was ended blocks
# commits again, with nobody left to end it.
def test_block_that_was_ended_does_not_begin_again_under_its_token():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(_BLOCK, ms(0))
    commit_tracker.unblock_commits(_BLOCK.token)
    commit_tracker.block_commits(_BLOCK, ms(1))
    assert_that(commit_tracker.is_blocked(ms(2)), Is(False))
    commit_tracker.block_commits(CommitBlock("s", _BLOCK.token + 1, ""), ms(3))
    assert_that(commit_tracker.is_blocked(ms(4)), Is(True))


# Guards against: the end of an attempt unblocks commits while the promotion of the next
# claimant is pending.
def test_only_the_latest_claim_ends_a_block():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(_BLOCK, ms(0))
    later = CommitBlock("s", _BLOCK.token + 1, "d1", "d3")
    commit_tracker.block_commits(later, ms(1))
    commit_tracker.block_commits(replace(_BLOCK, candidate_id="d2"), ms(2))
    assert_that(commit_tracker.unblock_commits(_BLOCK.token), Is(False))
    commit_tracker.record_leader("d2", ms(3))
    assert_that(commit_tracker.is_blocked(ms(4)), Is(True))
    assert_that(commit_tracker.unblock_commits(later.token), Is(True))
    assert_that(commit_tracker.is_blocked(ms(5)), Is(False))


def test_highest_acknowledged_needs_the_answers_of_all_instances():
    answers = [InstanceAnswer("a", _position(3)), InstanceAnswer("b", _position(5))]
    assert_that(combine_acknowledged(answers).position, Equals(_position(5)))
    unknown = InstanceAnswer("c", None)
    incomplete = combine_acknowledged([*answers, unknown])
    assert_that(incomplete.position, Is(None))
    assert_that(incomplete.missing_instances, Equals(("c",)))
    assert_that(incomplete.silent_instances, Equals(()))
    silent = InstanceAnswer("d", None, has_answered=False)
    incomplete = combine_acknowledged([*answers, unknown, silent])
    assert_that(incomplete.missing_instances, Equals(("c", "d")))
    assert_that(incomplete.silent_instances, Equals(("d",)))
    assert_that(combine_acknowledged([]).position, Is(None))


def test_blocked_service_refuses_commits(service):
    async def body():
        reply = await service.run_commit(lambda: _commit(4))
        assert_that(reply.position, Equals(_position(4)))
        assert_that(await service.block_commits(_BLOCK, ms(100)), Equals(_position(4)))
        with pytest.raises(CodedError) as raised:
            await service.run_commit(lambda: _commit(5))
        assert_that(raised.value.code, Is(ResultCode.NO_PRIMARY))
        assert_that(service.commit_tracker.acknowledged, Equals(_position(4)))

    anyio.run(body)


def test_block_commits_waits_for_commits_in_flight(service, clock):
    async def body():
        answer = anyio.Event()
        positions = []
        service.commit_tracker.record_leader_position(_position(4))

        async def commit():
            await answer.wait()
            return Reply(error=ResultCode.ENDPOINT_BUSY)

        async def block():
            positions.append(await service.block_commits(_BLOCK, ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, commit)
            await anyio.sleep(0)
            clock.advance(ms(1))
            tasks.start_soon(block)
            await anyio.sleep(0.03)
            assert_that(positions, Equals([]))
            answer.set()
        assert_that(positions, Equals([_position(4)]))

    anyio.run(body)


# Guards against: a switchover reports commits as unknown that the leader, which works,
# answers while they are waited for; or the position that is told lacks them.
@pytest.mark.parametrize("is_in_time", [True, False])
def test_commit_in_flight_is_acknowledged_only_while_it_is_waited_for(
    service, clock, is_in_time
):
    async def body():
        answer = anyio.Event()
        positions, outcomes = [], []
        service.commit_tracker.record_leader_position(_position(4))

        async def commit():
            await answer.wait()
            return Reply(position=_position(8))

        async def run_commit():
            try:
                outcomes.append((await service.run_commit(commit)).position)
            except CodedError as error:
                outcomes.append(error.code)

        async def block():
            positions.append(await service.block_commits(_BLOCK, ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_commit)
            await anyio.sleep(0)
            tasks.start_soon(block)
            await anyio.sleep(0.02)
            assert_that(positions, Equals([]))
            if not is_in_time:
                clock.advance(ms(100))
                await anyio.sleep(0.03)
                assert_that(positions, Equals([_position(4)]))
            answer.set()
        if is_in_time:
            assert_that((positions, outcomes), Equals(([_position(8)],) * 2))
        else:
            assert_that(outcomes, Equals([ResultCode.OUTCOME_UNKNOWN]))
            assert_that(service.commit_tracker.acknowledged, Equals(_position(4)))

    anyio.run(body)


# Guards against: commits that are sent after a block has ended are reported as unknown.
def test_block_that_ends_while_it_waits_gives_no_later_commit_up(service, clock):
    async def body():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, anyio.sleep_forever)
            await anyio.sleep(0)
            tasks.start_soon(service.block_commits, _BLOCK, ms(100))
            await anyio.sleep(0.02)
            service.unblock_commits(_BLOCK.token)
            clock.advance(ms(100))
            await anyio.sleep(0.03)
            assert_that(service.commit_tracker.give_up_count, Equals(0))
            tasks.cancel_scope.cancel()

    anyio.run(body)


# Guards against: commits to a leader that is back under a new id are not blocked; or
# each failover is given up because an instance still takes another database for the
# leader, and so tells no position.
def test_commits_are_blocked_and_their_position_told_whichever_database_leads(service):
    service.leadership.record_leader_verified("d2", LogPosition(2, 3), ms(10_000))
    service.commit_tracker.record_leader_position(LogPosition(2, 3))
    block = CommitBlock("s", 7, "d1")
    told = anyio.run(service.block_commits, block, ms(10))
    assert_that(told, Equals(LogPosition(2, 3)))
    assert_that(told > LogPosition(1, 900), Is(True))
    assert_that(service.commit_tracker.is_blocked(ms(10_001)), Is(True))


def test_nothing_is_blocked_if_the_candidate_leads(service):
    service.leadership.record_leader_verified("d2", _position(3), ms(10_000))
    block = CommitBlock("s", 7, "d1", "d2")
    assert_that(anyio.run(service.block_commits, block, ms(10)), Is(None))
    assert_that(service.commit_tracker.is_blocked(ms(10_001)), Is(False))


# Guards against: a commit that was under way when commits were blocked is acknowledged
# to its caller after the candidate's log had been read.
def test_commit_answered_while_blocked_is_reported_as_unknown(service):
    async def body():
        answer = anyio.Event()
        codes = []

        async def commit():
            await answer.wait()
            return Reply(position=_position(8))

        async def run_commit():
            try:
                await service.run_commit(commit)
            except CodedError as error:
                codes.append(error.code)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_commit)
            await anyio.sleep(0)
            assert_that(await service.block_commits(_BLOCK, ms(0)), Is(None))
            answer.set()
        assert_that(codes, Equals([ResultCode.OUTCOME_UNKNOWN]))
        assert_that(service.commit_tracker.acknowledged, Is(None))

    anyio.run(body)
