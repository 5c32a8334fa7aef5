"""Unexpected errors in an instance's tasks leave it serving."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, IsInstance, StartsWith

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.relay import messages
from goldcrestpond.relay.channel import Channel
from goldcrestpond.serving.leader_monitor import LeaderMonitor

from ..line_world import SERVICE, run_in_world


def _task_errors(world):
    return [fields["task"] for event, fields in world.logs[0].lines if event == _EVENT]


_EVENT = "task failed"


async def _is_served(world):
    async with world.caller("own") as caller:
        answer = await caller.ask("READ a")
    assert_that(answer[-1], StartsWith("READY I"))


async def _wait_for_error(world, task):
    with anyio.fail_after(3):
        while task not in _task_errors(world):
            await anyio.sleep(0.01)


# A message with a lane that does not exist, from another instance, ended the process.
@pytest.mark.parametrize(
    "message",
    [
        messages.Lend(SERVICE, "d1", "c", "no such lane", 100),
        messages.Execute("q1", 99, "READ a", "", "", False, None, None),
    ],
)
def test_malformed_message_of_a_peer_ends_only_its_channel(message):
    async def body(world):
        instance = world.instances[0]
        address = instance.peer_address
        channel = Channel(await anyio.connect_tcp(address.host, address.port))
        lend = messages.Lend(SERVICE, "d1", "c", "short", 1000)
        assert_that(await channel.send_request(lend), IsInstance(messages.Lent))
        with pytest.raises(CodedError):
            await channel.send_request(message)
        await channel.aclose()
        await _is_served(world)

    run_in_world(body)


# An error while one service was checked ended the process, or the monitoring of all.
def test_error_in_the_check_of_a_service_leaves_the_instance_serving(monkeypatch):
    def fail(monitor, service, now):
        raise KeyError("unexpected")

    async def body(world):
        monkeypatch.setattr(LeaderMonitor, "_is_suspect", fail)
        await _wait_for_error(world, "LeaderMonitor._check_service")
        await _is_served(world)
        text = world.instances[0].render_metrics().decode()
        assert_that(text, Contains("goldcrestpond_task_errors_total{task="))

    run_in_world(body)


# A feed that failed once was never read again.
def test_feed_that_fails_is_followed_again():
    async def body(world):
        directory = world.instances[0].directory
        apply_table = type(directory).apply_table
        failures = []

        def fail_once(directory, table):
            if not failures:
                failures.append(table)
                raise RuntimeError("unexpected")
            return apply_table(directory, table)

        type(directory).apply_table = fail_once
        try:
            world.configure()
            with anyio.fail_after(5):
                while directory.table.version != world.version:
                    await anyio.sleep(0.02)
        finally:
            type(directory).apply_table = apply_table
        assert_that(_task_errors(world), Equals(["TableFeed.run"]))
        await _is_served(world)

    run_in_world(body)
