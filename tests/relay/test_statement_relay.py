"""Statements that pass between instances, over loopback."""

from collections import Counter
from dataclasses import replace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not, StartsWith

from goldcrestpond.relay import relay_server
from goldcrestpond.serving import fleet_protocol
from goldcrestpond.serving.home_role import HomeRole

from ..line_world import GRACE_S, SERVICE, run_in_world

ORGANISATIONS = {f"o{number}": [f"key-{number}"] for number in range(12)}


@pytest.fixture
def requests(monkeypatch):
    """Count the requests between instances by kind."""
    counts = Counter()
    respond = relay_server._ChannelSession._respond

    async def count(session, request):
        counts[type(request).__name__] += 1
        return await respond(session, request)

    monkeypatch.setattr(relay_server._ChannelSession, "_respond", count)
    return counts


def _run(body, instance_count=3):
    async def run(world):
        for index in range(instance_count):
            await world.start_instance(f"i{index + 1}")
        while any(i.directory.member_count != instance_count for i in world.instances):
            await anyio.sleep(0.02)
        await world.organise(ORGANISATIONS)
        await body(world)

    run_in_world(run, instance_count=0)


def _not_homes_of(world, number):
    """Return the instances that are no home of an organisation, the standby last."""
    others = [
        (i.directory.homes.role(SERVICE, f"o{number}").name, index, i)
        for index, i in enumerate(world.instances)
        if i.directory.homes.role(SERVICE, f"o{number}") is not HomeRole.HOME
    ]
    return [instance for *_, instance in sorted(others)]


def _home_of(world, number):
    not_homes = _not_homes_of(world, number)
    return next(i for i in world.instances if i not in not_homes)


# Failure: each read waits for a proof of the leader, a checkout, its values and its
# run, a round trip each.
def test_read_passes_to_its_home_in_one_message(requests):
    async def body(world):
        elsewhere = _not_homes_of(world, 1)[0]
        async with world.caller("current", elsewhere, "key-1") as caller:
            await caller.ask("SET colour blue")
            await caller.ask("PREPARE p READ shape")
            requests.clear()
            for text in ("READ a", "EXECUTE p a"):
                assert_that((await caller.ask(text))[-1], Equals("READY I -"))
            del requests["Follow"], requests["Probe"]
            assert_that(requests, Equals(Counter(Run=2)))

    _run(body)


# Failure: a session reads what its own write is not in, since another instance than
# the one that ran the write runs the read.
def test_session_sees_its_own_writes_wherever_they_run():
    async def body(world):
        for number in range(4):
            elsewhere = _not_homes_of(world, number)[0]
            async with world.caller("own", elsewhere, f"key-{number}") as caller:
                for value in range(10):
                    written = await caller.ask(f"WRITE a{number} {value}")
                    assert_that(written[0], StartsWith("COMPLETE "))
                    read = await caller.ask(f"READ a{number}")
                    assert_that(read[0], StartsWith(f"ROW {value} "))

    _run(body)


def test_transaction_is_opened_with_its_first_statement(requests):
    async def body(world):
        elsewhere = _not_homes_of(world, 1)[0]
        async with world.caller("own", elsewhere, "key-1") as caller:
            requests.clear()
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            await caller.ask("READ a")
            committed = await caller.ask("COMMIT")
            assert_that(committed[-1], Equals("READY I -"))
            del requests["Follow"], requests["Probe"]
            assert_that(requests, Equals(Counter(Open=1, Execute=2)))
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW 1 "))

    _run(body)


# Failure: the home is lost inside a transaction: nothing of it may be kept, and the
# caller must be told so.
def test_transaction_whose_home_is_lost_is_rolled_back():
    async def body(world):
        elsewhere = _not_homes_of(world, 1)[0]
        home = _home_of(world, 1)
        async with world.caller("current", elsewhere, "key-1") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            served = elsewhere.directory.services[SERVICE].databases
            links = [
                link
                for each in served.values()
                for link in each.pool._relay_pool._checked_out_at
            ]
            assert_that(len(links), Equals(1))
            assert_that(links[0].holder.name, Equals(home._settings.instance))
            await links[0].channel.aclose()
            answer = await caller.ask("WRITE b 1")
            assert_that(answer[0], StartsWith("ERROR ABORTED"))
            await caller.ask("ROLLBACK")
            read = await caller.ask("READ a")
            assert_that(read[0], StartsWith("ROW - "))

    _run(body)


# Failure: the home stops in order inside a transaction of another instance's caller,
# which is cut though it would have ended in time.
def test_home_that_stops_lets_transactions_of_other_instances_end():
    async def body(world):
        elsewhere = _not_homes_of(world, 1)[0]
        home = _home_of(world, 1)
        async with world.caller("current", elsewhere, "key-1") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            ended = anyio.Event()

            async def stop():
                await home.stop()
                ended.set()

            world.tasks.start_soon(stop)
            # Longer than its own callers need, which are none.
            await anyio.sleep(0.42 * GRACE_S)
            assert_that(ended.is_set(), Is(False))
            committed = await caller.ask("COMMIT")
            assert_that(committed[-1], Equals("READY I -"))
            assert_that(committed[0], StartsWith("COMPLETE "))
            with anyio.fail_after(GRACE_S):
                await ended.wait()

    _run(body)


# Failure: the home does not answer at all; the standby serves.
def test_statements_go_to_the_standby_if_the_home_is_dead():
    async def body(world):
        third, standby = _not_homes_of(world, 1)
        home = _home_of(world, 1)
        (holder,) = third.directory.home_holders(SERVICE, "o1").homes
        await holder.aclose()
        holder.address = replace(holder.address, port=9)
        async with world.caller("own", third, "key-1") as caller:
            for text in ("READ a", "BEGIN", "READ a", "COMMIT", "READ a"):
                answer = await caller.ask(text)
                assert_that(answer[0], Not(StartsWith("ERROR")))
        assert_that(standby is home, Is(False))
        events = world.logs[world.instances.index(third)].events()
        assert_that(events, Contains("statement sent elsewhere"))

    _run(body)


# Failure: two releases run side by side; the former one does not know these messages.
def test_no_new_message_is_sent_while_a_member_knows_only_the_first_protocol(
    requests, monkeypatch
):
    async def body(world):
        elsewhere = _not_homes_of(world, 1)[0]
        requests.clear()
        async with world.caller("own", elsewhere, "key-1") as caller:
            for text in ("READ a", "BEGIN", "WRITE a 1", "COMMIT"):
                answer = await caller.ask(text)
                assert_that(answer[0], Not(StartsWith("ERROR")))
        assert_that(requests["Lend"] >= 2, Is(True))
        assert_that(requests["Run"] + requests["Open"] + requests["Refund"], Equals(0))

    monkeypatch.setattr(
        "goldcrestpond.root.instance.PROTOCOL", fleet_protocol.FIRST_PROTOCOL
    )
    _run(body)
