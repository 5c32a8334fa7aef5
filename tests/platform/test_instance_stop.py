"""Shutdown of an instance: running statements finish, transactions get a grace time.

Open transactions may commit in the first half of the grace period.
"""

import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, StartsWith

from ..line_world import GRACE_S, LineCaller, line_world

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


# Failure: a transaction of which a statement runs at half of the grace period goes on
# with further statements, and is cut without an answer when the process ends.
def test_transaction_whose_statement_runs_at_half_of_the_grace_period():
    async def body(world, tasks):
        world.group.draw_work_s = lambda: GRACE_S * 0.2
        async with world.caller("aged") as caller:
            await caller.ask("BEGIN READ")
            tasks.start_soon(world.instances[0].stop)
            await anyio.sleep(GRACE_S * 0.4)
            lines = await caller.ask("READ a")
            assert_that((lines[0][:4], lines[-1][:7]), Equals(("ROW ", "READY T")))
            run_count = len(world.group.executions)
            await anyio.sleep(GRACE_S * 0.1)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ERROR ABORTED"))
            assert_that((await caller.ask("ROLLBACK"))[-1], StartsWith("READY I"))
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await caller.ask("READ a")
        assert_that(len(world.group.executions), Equals(run_count))

    _run(body)


# Failure: a caller whose transaction was rolled back by the stop gets a close in place
# of the answer that nothing of it is kept.
@pytest.mark.parametrize("text", ["WRITE a 2", "COMMIT"])
def test_caller_is_told_that_the_stop_has_rolled_its_transaction_back(text):
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            tasks.start_soon(world.instances[0].stop)
            await anyio.sleep(GRACE_S * 0.6)
            assert_that((await caller.ask(text))[0], StartsWith("ERROR ABORTED"))
        assert_that(world.group.databases["d1"].read("a"), Equals("-"))

    _run(body)


# Failure: a statement that a database still works on when the process ends is cut.
@pytest.mark.parametrize(
    ("opening", "text", "answer"),
    [
        ("", "READ a", "ERROR TIMEOUT"),
        ("", "WRITE a 1", "ERROR INDOUBT"),
        ("BEGIN READ", "READ a", "ERROR ABORTED"),
        ("BEGIN", "WRITE a 1", "ERROR ABORTED"),
    ],
)
def test_statement_that_runs_until_the_end_is_answered(opening, text, answer):
    async def body(world, tasks):
        world.configure(timeout_ms=10_000, objective_ms=10_000)
        await world.until_in_force()
        world.group.draw_work_s = lambda: GRACE_S * 2
        async with world.caller("own") as caller:
            if opening:
                await caller.ask(opening)
            tasks.start_soon(world.instances[0].stop)
            await anyio.sleep(GRACE_S * 0.1)
            with anyio.fail_after(GRACE_S * 0.85):
                assert_that((await caller.ask(text))[0], StartsWith(answer))
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await caller.ask("READ a")

    _run(body)


# Failure: a caller that connects when there may be no time to answer its statements is
# accepted; they are sent to a database, and cut when the process ends.
def test_caller_that_connects_in_the_second_half_is_refused():
    async def body(world, tasks):
        async with world.caller("own") as caller:
            await caller.ask("BEGIN")  # keeps the instance from ending
            tasks.start_soon(world.instances[0].stop)
            await anyio.sleep(GRACE_S * 0.6)
            host, port = world.instances[0].caller_address
            late_caller = LineCaller(await anyio.connect_tcp(host, port))
            assert_that(await late_caller.connect("own"), StartsWith("ERROR BUSY"))
            await late_caller.aclose()
        assert_that(world.group.executions, Equals([]))

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
