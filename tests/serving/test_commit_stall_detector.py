"""Tests of stalled commits: replicas receive nothing, so no commit is answered."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, StartsWith

from goldcrestpond.serving.commit_stall_detector import (
    STALL_AFTER,
    TRIAL_INTERVAL,
    CommitStallDetector,
)

from ..line_world import line_world
from .test_leadership import ms


@pytest.fixture
def detector():
    return CommitStallDetector()


def test_one_late_commit_is_no_stall(detector):
    detector.record_commit_sent(ms(0))
    assert_that(detector.is_stalled(STALL_AFTER * 2), Is(False))


def test_several_late_commits_are_a_stall_until_one_is_answered(detector):
    first = detector.record_commit_sent(ms(0))
    detector.record_commit_sent(ms(0))
    assert_that(detector.is_stalled(STALL_AFTER - ms(1)), Is(False))
    assert_that(detector.is_stalled(STALL_AFTER), Is(True))
    detector.record_answer(first, STALL_AFTER)
    assert_that(detector.is_stalled(STALL_AFTER + ms(1)), Is(False))


def test_slow_leader_that_still_answers_commits_is_no_stall(detector):
    """Burst of writes: many commits wait long, but some are answered."""
    for number in range(10):
        detector.record_commit_sent(ms(number))
    last = detector.record_commit_sent(ms(300))
    detector.record_answer(last, ms(600))
    assert_that(detector.is_stalled(ms(700)), Is(False))


def test_abandoned_commits_count_as_stalled_until_reset(detector):
    for _ in range(2):
        detector.record_commit_abandoned(detector.record_commit_sent(ms(0)))
    assert_that(detector.is_stalled(STALL_AFTER), Is(True))
    detector.reset()
    assert_that(detector.is_stalled(STALL_AFTER), Is(False))


def test_one_write_per_interval_is_admitted_as_a_trial(detector):
    for _ in range(2):
        detector.record_commit_abandoned(detector.record_commit_sent(ms(0)))
    now = STALL_AFTER
    assert_that(
        [detector.try_admit_write(now), detector.try_admit_write(now)],
        Equals([True, False]),
    )
    assert_that(detector.try_admit_write(now + TRIAL_INTERVAL), Is(True))


def test_refused_writes_are_not_run_and_reads_go_on_while_replicas_receive_nothing():
    async def body():
        async with line_world() as world:
            for database in world.group.databases.values():
                database.is_cut_off = True
            answers = []

            async def write(number):
                async with world.caller("own") as caller:
                    answers.append((await caller.ask(f"WRITE a{number} 1"))[0])

            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(write, number)
                await anyio.sleep(0.6)
                for number in range(2, 8):
                    tasks.start_soon(write, number)
                async with world.caller("own") as reader:
                    with anyio.fail_after(1):
                        assert_that((await reader.ask("READ b"))[0], StartsWith("ROW"))
            refused = [a for a in answers if a.startswith("ERROR BUSY GP215")]
            assert_that(len(refused) >= 4, Is(True))
            writes = [e for e in world.group.executions if e[2] == "WRITE"]
            assert_that(len(writes), Equals(8 - len(refused)))

    async def run():
        with anyio.fail_after(20):
            await body()

    anyio.run(run)
