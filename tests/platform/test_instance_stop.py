"""Shutdown of an instance: running statements finish, transactions get a grace time.

Open transactions may commit in the first half of the grace period.
"""

import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, StartsWith

from ..line_world import GRACE_S, line_world

PAUSE_S = 0.005  # longer than a close takes to arrive on loopback


def _run(body):
    async def run():
        with anyio.fail_after(20):
            async with line_world() as world:
                async with anyio.create_task_group() as tasks:
                    await body(world, tasks)

    anyio.run(run)


def test_busy_caller_is_closed_only_after_an_answer():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("READ a")
            tasks.start_soon(world.instances[0].stop)
            answer_count = 0
            with pytest.raises(anyio.EndOfStream):
                while True:
                    await anyio.sleep(PAUSE_S)
                    lines = await caller.ask("READ a")
                    assert_that(lines[-1], Equals("READY I -"))
                    answer_count += 1
            assert_that(answer_count > 10, Is(True))

    _run(body)


def test_caller_that_asks_into_the_close_has_nothing_run_unanswered():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("READ a")
            tasks.start_soon(world.instances[0].stop)
            answer_count = 1
            # A request sent while the instance closes the session gets a reset.
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await caller.ask("READ a")
                    answer_count += 1
        # A read whose answer takes too long is retried, so it may run twice.
        read_ids = {e[1] for e in world.group.executions if e[2] == "READ"}
        assert_that(len(read_ids), Equals(answer_count))

    _run(body)


def test_stopping_instance_is_immediately_not_ready():
    async def body(world, tasks):
        tasks.start_soon(world.instances[0].stop)
        await anyio.sleep(0.01)
        assert_that(world.instances[0].is_ready(), Is(False))

    _run(body)


def test_open_transaction_can_commit_in_the_first_half_of_the_grace_period():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            tasks.start_soon(world.instances[0].stop)
            await anyio.sleep(GRACE_S * 0.3)
            assert_that((await caller.ask("COMMIT"))[0], StartsWith("COMPLETE r"))

    _run(body)


def test_transaction_that_stays_open_is_rolled_back_and_closed():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            await world.instances[0].stop()
            with pytest.raises(anyio.EndOfStream):
                await caller.ask("READ a")
        assert_that(world.group.databases["d1"].read("a"), Equals("-"))

    _run(body)


def test_idle_session_is_closed_within_the_grace_period():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            with anyio.fail_after(GRACE_S):
                await world.instances[0].stop()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await caller.ask("READ a")

    _run(body)


def test_changed_settings_are_reloaded_if_they_are_valid(tmp_path):
    async def body(world, tasks):
        instance = world.instances[0]
        path = tmp_path / "settings.json"
        body = {
            "instance": "i1",
            "availability_zone": "z1",
            "listen": "127.0.0.1:1",
            "ready_listen": "127.0.0.1:1",
            "peer_listen": "127.0.0.1:1",
            "metrics_listen": "127.0.0.1:1",
            "store": "127.0.0.1:1",
            "drain_limit_ms": 1234,
        }
        path.write_text(json.dumps(body), encoding="utf-8")
        instance.reload(str(path))
        assert_that(world.logs[0].lines[-1][0], Equals("settings reloaded"))
        assert_that(world.logs[0].lines[-1][1]["drain_limit_ms"], Equals(1234))
        path.write_text(json.dumps({**body, "drain_limit_ms": "x"}), encoding="utf-8")
        instance.reload(str(path))
        assert_that(world.logs[0].lines[-1][0], Equals("settings refused"))
        assert_that(world.logs[0].lines[-1][1]["detail"], Contains("drain_limit_ms"))

    _run(body)
