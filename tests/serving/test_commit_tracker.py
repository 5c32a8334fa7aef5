"""Tests of acknowledged-commit tracking and of blocked commits in one instance."""

import random

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.serving.commit_tracker import BLOCK_LIFETIME, CommitTracker
from goldcrestpond.serving.highest_acknowledged import combine_acknowledged
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.service import Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import ms


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


def test_block_applies_to_one_epoch_and_expires():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(3, ms(0))
    assert_that(commit_tracker.is_blocked(3, ms(1)), Is(True))
    assert_that(commit_tracker.is_blocked(4, ms(1)), Is(False))
    assert_that(commit_tracker.is_blocked(3, BLOCK_LIFETIME), Is(False))
    commit_tracker.block_commits(3, BLOCK_LIFETIME)
    commit_tracker.unblock_commits()
    assert_that(commit_tracker.is_blocked(3, BLOCK_LIFETIME + ms(1)), Is(False))


def test_highest_acknowledged_needs_the_answers_of_all_instances():
    positions = [("a", _position(3)), ("b", _position(5))]
    assert_that(combine_acknowledged(positions).position, Equals(_position(5)))
    incomplete = combine_acknowledged([*positions, ("c", None)])
    assert_that(incomplete.position, Is(None))
    assert_that(incomplete.missing_instances, Equals(("c",)))
    assert_that(combine_acknowledged([]).position, Is(None))


def test_blocked_service_refuses_commits(service):
    async def body():
        reply = await service.run_commit(lambda: _commit(4))
        assert_that(reply.position, Equals(_position(4)))
        assert_that(await service.block_commits("", ms(100)), Equals(_position(4)))
        with pytest.raises(CodedError) as raised:
            await service.run_commit(lambda: _commit(5))
        assert_that(raised.value.code, Is(ResultCode.NO_PRIMARY))
        assert_that(service.commit_tracker.acknowledged, Equals(_position(4)))

    anyio.run(body)


def test_block_commits_waits_for_commits_in_flight(service, clock):
    async def body():
        answer = anyio.Event()
        positions = []

        async def commit():
            await answer.wait()
            return Reply(position=_position(8))

        async def block():
            positions.append(await service.block_commits("", ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, commit)
            await anyio.sleep(0)
            clock.advance(ms(1))
            tasks.start_soon(block)
            await anyio.sleep(0.03)
            assert_that(positions, Equals([]))
            answer.set()
        assert_that(positions, Equals([_position(8)]))

    anyio.run(body)


def test_block_commits_returns_none_if_a_commit_is_not_answered_in_time(service, clock):
    async def body():
        positions = []

        async def block():
            positions.append(await service.block_commits("", ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, anyio.sleep_forever)
            await anyio.sleep(0)
            tasks.start_soon(block)
            await anyio.sleep(0.02)
            clock.advance(ms(100))
            await anyio.sleep(0.03)
            assert_that(positions, Equals([None]))
            tasks.cancel_scope.cancel()

    anyio.run(body)


def test_commits_are_not_blocked_if_another_database_leads(service):
    service.leadership.record_leader_verified("d2", _position(3), ms(10_000))
    assert_that(anyio.run(service.block_commits, "d1", ms(10)), Is(None))
    assert_that(service.commit_tracker.is_blocked(1, ms(10_001)), Is(False))
