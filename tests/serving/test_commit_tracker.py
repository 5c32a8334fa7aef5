"""What one instance knows of acknowledged commits, and that it holds them back."""

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
from goldcrestpond.serving.commit_tracker import BLOCK_LIFETIME, CommitTracker
from goldcrestpond.serving.highest_acknowledged import combine_acknowledged
from goldcrestpond.serving.registry import Registry
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.service import UNLISTED_RETENTION, Service
from goldcrestpond.serving.serving_settings import ServingSettings

from ..line_world import ListLog
from .test_leadership import database, ms


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


def test_first_sample_covers_what_a_former_process_saw():
    commit_tracker = CommitTracker()
    assert_that(commit_tracker.acknowledged, Is(None))
    commit_tracker.record_leader_position(_position(4))
    commit_tracker.record_leader_position(_position(9))
    assert_that(commit_tracker.acknowledged, Equals(_position(4)))
    commit_tracker.record_answer(_position(7))
    commit_tracker.record_answer(_position(6))
    assert_that(commit_tracker.acknowledged, Equals(_position(7)))


def test_seal_holds_commits_to_that_leader_only_and_ends_by_itself():
    commit_tracker = CommitTracker()
    commit_tracker.block_commits(3, ms(0))
    assert_that(commit_tracker.is_blocked(3, ms(1)), Is(True))
    assert_that(commit_tracker.is_blocked(4, ms(1)), Is(False))
    assert_that(commit_tracker.is_blocked(3, BLOCK_LIFETIME), Is(False))
    commit_tracker.block_commits(3, BLOCK_LIFETIME)
    commit_tracker.unblock_commits()
    assert_that(commit_tracker.is_blocked(3, BLOCK_LIFETIME + ms(1)), Is(False))


def test_bound_is_known_if_everybody_says():
    told = [("a", _position(3)), ("b", _position(5))]
    assert_that(combine_acknowledged(told).position, Equals(_position(5)))
    silent = combine_acknowledged([*told, ("c", None)])
    assert_that(silent.position, Is(None))
    assert_that(silent.missing_instances, Equals(("c",)))
    assert_that(combine_acknowledged([]).position, Is(None))


def test_sealed_service_sends_no_commit_and_says_so(service):
    async def body():
        reply = await service.run_commit(lambda: _commit(4))
        assert_that(reply.position, Equals(_position(4)))
        assert_that(await service.block_commits("", ms(100)), Equals(_position(4)))
        with pytest.raises(CodedError) as raised:
            await service.run_commit(lambda: _commit(5))
        assert_that(raised.value.code, Is(ResultCode.NO_PRIMARY))
        assert_that(service.commit_tracker.acknowledged, Equals(_position(4)))

    anyio.run(body)


def test_commit_under_way_is_waited_for(service, clock):
    async def body():
        answer = anyio.Event()
        sealed = []

        async def commit():
            await answer.wait()
            return Reply(position=_position(8))

        async def block_commits():
            sealed.append(await service.block_commits("", ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, commit)
            await anyio.sleep(0)
            clock.advance(ms(1))
            tasks.start_soon(block_commits)
            await anyio.sleep(0.03)
            assert_that(sealed, Equals([]))
            answer.set()
        assert_that(sealed, Equals([_position(8)]))

    anyio.run(body)


def test_commit_that_does_not_end_leaves_it_open(service, clock):
    async def body():
        sealed = []

        async def block_commits():
            sealed.append(await service.block_commits("", ms(100)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(service.run_commit, anyio.sleep_forever)
            await anyio.sleep(0)
            tasks.start_soon(block_commits)
            await anyio.sleep(0.02)
            clock.advance(ms(100))
            await anyio.sleep(0.03)
            assert_that(sealed, Equals([None]))
            tasks.cancel_scope.cancel()

    anyio.run(body)


def test_whoever_knows_another_leader_does_not_help_to_depose_it(service):
    service.leadership.record_leader_verified("d2", _position(3), ms(10_000))
    assert_that(anyio.run(service.block_commits, "d1", ms(10)), Is(None))
    assert_that(service.commit_tracker.is_blocked(1, ms(10_001)), Is(False))


def test_departed_databases_are_remembered_until_others_have_caught_up(service, clock):
    service.unlisted.append((database("d3"), clock.now()))
    assert_that(service.recently_unlisted(), Equals([database("d3")]))
    clock.advance(UNLISTED_RETENTION)
    assert_that(service.recently_unlisted(), Equals([]))


def test_one_that_started_again_is_not_the_one_that_departed(service, clock):
    served = type("Served", (), {"database": replace(database("d3"), started_at_ms=2)})
    service.databases["d3"] = served
    service.unlisted.append((replace(database("d3"), started_at_ms=1), clock.now()))
    assert_that(len(service.recently_unlisted()), Equals(1))
    served.database = replace(database("d3"), started_at_ms=1)
    assert_that(service.recently_unlisted(), Equals([]))
