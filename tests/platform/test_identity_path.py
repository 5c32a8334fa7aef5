"""Callers with keys of organisations, from their sockets to the databases."""

from datetime import timedelta

import anyio
import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    Equals,
    GreaterThan,
    HasLength,
    Is,
    Not,
    StartsWith,
)

from goldcrestpond.platform.endpoint_link import open_endpoint_link
from goldcrestpond.root.instance import Instance
from goldcrestpond.standin.line_bodies import make_organisation_body

from ..line_world import SERVICE, LineCaller, run_in_world

KEY, OTHER_KEY = "key-of-acme", "key-of-bolt"
BOTH = {"acme": [KEY], "bolt": [OTHER_KEY]}
WITHDRAWN = {"acme": [], "bolt": [OTHER_KEY]}
MOVED = {"acme": [], "bolt": [OTHER_KEY, KEY]}
REVOKE_LIMIT_MS = 2200
UNPROVEN_S = 2.3  # longer than the limit, and shorter than a transaction may idle


def run_organised(body, instance_count=1, **settings):
    """Run ``body`` in a world whose configuration has two organisations."""

    async def run(world):
        for index in range(instance_count):
            await world.start_instance(f"i{index + 1}", **settings)
        await world.organise(BOTH)
        await body(world)

    run_in_world(run, instance_count=0)


async def greet(world, database, key, instance=None):
    """Return the answer to CONNECT, and whether the connection was closed after it."""
    host, port = (instance or world.instances[0]).caller_address
    caller = LineCaller(await anyio.connect_tcp(host, port))
    try:
        answer = await caller.connect(database, key)
        is_closed = False
        with anyio.move_on_after(0.2):
            try:
                await caller.read_line()
            except anyio.EndOfStream:
                is_closed = True
        return answer, is_closed
    finally:
        await caller.aclose()


def lines_of(world, event):
    return [fields for log in world.logs for name, fields in log.lines if name == event]


async def wait_for_line(world, event):
    """Return the first line with this event once there is one."""
    with anyio.fail_after(10):
        while not lines_of(world, event):
            await anyio.sleep(0.01)
    return lines_of(world, event)[0]


async def kept_value(world):
    async with world.caller("current", key=OTHER_KEY) as reader:
        return (await reader.ask("READ a"))[0]


def test_configuration_without_organisations_accepts_any_key():
    async def body(world):
        async with world.caller("own", key="whatever") as caller:
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))
        assert_that({name for _, name in world.servers.connected}, HasLength(1))
        assert_that(set(world.group.callers.values()), Equals({"goldcrestpond"}))
        assert_that(world.instances[0].render_metrics(), Not(Contains(b"identity")))

    run_in_world(body)


def test_unknown_key_is_refused_and_closed():
    async def body(world):
        answer, is_closed = await greet(world, "own", "wrong")
        assert_that(answer, StartsWith("ERROR AUTHFAIL GP105"))
        assert_that(is_closed, Is(True))
        answer, _ = await greet(world, "nobody", "wrong")
        assert_that(answer, StartsWith("ERROR NODB"))
        async with world.caller("own", key=KEY) as caller:
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))

    run_organised(body)


def test_open_route_needs_no_key():
    async def body(world):
        await world.organise(BOTH, open_names=("own",))
        async with world.caller("own", key="wrong") as caller:
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))
        answer, _ = await greet(world, "current", "wrong")
        assert_that(answer, StartsWith("ERROR AUTHFAIL"))

    run_organised(body)


# A caller that stayed connected went on with a key that was withdrawn.
@pytest.mark.parametrize("text", ["READ a", "WRITE a 1", "BEGIN", "EXECUTE s a"])
def test_withdrawn_key_is_refused_on_an_idle_session(text):
    async def body(world):
        async with world.caller("own", key=KEY) as caller:
            await caller.ask("PREPARE s READ q1")
            await world.organise(WITHDRAWN)
            ran = len(world.group.executions)
            answer = await caller.ask(text)
            assert_that(answer[0], StartsWith("ERROR AUTHFAIL GP105"))
            assert_that(answer[1], Equals("READY I -"))
            assert_that(
                await caller.ask("SET a b"), Equals(["COMPLETE -", "READY I -"])
            )
            await caller.ask(text)
            assert_that(world.group.executions, HasLength(ran))
            [refused] = lines_of(world, "key refused")
            assert_that(refused["organisation"], Equals("acme"))
            assert_that(refused["version"], Equals(world.version))
            failed = lines_of(world, "statement failed")[0]
            assert_that(failed["organisation"], Equals("acme"))
            # Added again: the session goes on.
            await world.organise(BOTH)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))

    run_organised(body)


# The transaction was opened while the key was in use.
@pytest.mark.parametrize(
    ("text", "state"), [("READ a", "E"), ("WRITE a 2", "E"), ("COMMIT", "I")]
)
@pytest.mark.parametrize(
    ("keys", "word"), [(WITHDRAWN, "AUTHFAIL"), (MOVED, "ABORTED")]
)
def test_transaction_of_a_withdrawn_or_moved_key_keeps_nothing(text, state, keys, word):
    async def body(world):
        async with world.caller("current", key=KEY) as caller:
            await caller.ask("BEGIN")
            written = await caller.ask("WRITE a 1")
            assert_that(written[0], StartsWith("COMPLETE r"))
            await world.organise(keys)
            answer = await caller.ask(text)
            assert_that(answer[0], StartsWith(f"ERROR {word}"))
            assert_that(answer[1], Equals(f"READY {state} -"))
            if state == "E":
                again = await caller.ask("READ a")
                assert_that(again[0], StartsWith("ERROR MALFORMED"))
                ended = await caller.ask("ROLLBACK")
                assert_that(ended, Equals(["COMPLETE -", "READY I -"]))
            assert_that(await kept_value(world), StartsWith("ROW - "))
            pools = [
                served.pool.running_count
                for served in world.instances[0]
                .directory.services[SERVICE]
                .databases.values()
            ]
            assert_that(sum(pools), Equals(0))

    run_organised(body)


def test_transaction_without_a_connection_follows_a_moved_key():
    async def body(world):
        async with world.caller("current", key=KEY) as caller:
            await caller.ask("BEGIN")
            await world.organise(MOVED)
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))
            assert_that((await caller.ask("COMMIT"))[0], StartsWith("COMPLETE r"))

    run_organised(body)


def test_pool_is_asked_for_the_organisation_in_force():
    async def body(world):
        service = world.instances[0].directory.services[SERVICE]
        requesters = []
        for served in service.databases.values():

            def acquire(*args, pool=served.pool, original=served.pool.acquire):
                requesters.append(args[2])
                return original(*args)

            served.pool = _Spy(served.pool, acquire)
        async with world.caller("own", key=KEY) as caller:
            await caller.ask("WRITE a 1")
            await world.organise(MOVED)
            await caller.ask("WRITE a 2")
        names = [requester.organisation for requester in requesters]
        assert_that(names, Equals(["acme", "bolt"]))
        assert_that(requesters[0].weight, Equals(0.5))

    run_organised(body)


class _Spy:
    """A pool of which one method is replaced."""

    def __init__(self, pool, acquire):
        self._pool = pool
        self.acquire = acquire

    def __getattr__(self, name):
        return getattr(self._pool, name)


def test_database_is_told_the_organisation():
    async def body(world):
        served = next(
            iter(world.instances[0].directory.services[SERVICE].databases.values())
        )
        link = await open_endpoint_link(served.database, "acme")
        own = await open_endpoint_link(served.database)
        await link.aclose()
        await own.aclose()
        names = [name for _, name in world.servers.connected[-2:]]
        assert_that(names, Equals(["acme", "goldcrestpond"]))

    run_organised(body)


# A key in a line, a metric, a copy that is passed on, or a database's memory.
def test_key_is_kept_and_told_nowhere():
    async def body(world):
        for key in (KEY, "wrong-key-of-acme"):
            await greet(world, "own", key)
        for line in (f"CONNECT  {KEY}", f"connect own {KEY}", KEY):
            host, port = world.instances[0].caller_address
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(f"{line}\r\n".encode())
                answer = await stream.receive()
                assert_that(answer, Not(Contains(KEY.encode())))
        async with world.caller("own", key=KEY) as caller:
            await caller.ask("WRITE a 1")
            await world.organise(WITHDRAWN)
            await caller.ask("WRITE a 1")
        world.configure(
            organisations=[make_organisation_body(name, [KEY]) for name in "ab"]
        )
        with anyio.fail_after(10):
            while len(lines_of(world, "configuration unreadable")) < 2:
                await anyio.sleep(0.01)
        seen = [str(world.servers.connected), str(world.group.callers)]
        seen += [str(log.lines) for log in world.logs]
        for instance in world.instances:
            seen.append(instance.render_metrics().decode())
            changes = instance._feeds["configuration"].copy.changes_after(
                0, None, timedelta(0)
            )
            seen.append(str(changes))
            seen.append(str(instance.directory.table))
        for text in seen:
            assert_that(text, Not(Contains("key-of-acme")))

    run_organised(body, 2)


def test_instance_that_follows_another_knows_the_keys():
    async def body(world):
        with anyio.fail_after(15):
            while sum(i._table_follower.is_reading for i in world.instances) != 1:
                await anyio.sleep(0.05)
        for instance in world.instances:
            async with world.caller("own", instance, KEY) as caller:
                assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))
        await world.organise(WITHDRAWN)
        for instance in world.instances:
            answer, _ = await greet(world, "own", KEY, instance)
            assert_that(answer, StartsWith("ERROR AUTHFAIL"))

    run_organised(body, 3)


# A restarted instance has no memory of what was withdrawn.
def test_withdrawn_key_is_refused_after_a_restart():
    async def body(world):
        await world.organise(WITHDRAWN)
        instance = await world.start_instance("i2")
        answer, _ = await greet(world, "own", KEY, instance)
        assert_that(answer, StartsWith("ERROR AUTHFAIL"))

    run_organised(body)


# The store is away: nobody can know which keys were withdrawn.
def test_instance_that_proves_nothing_refuses_until_its_first_proof():
    async def body(world):
        await world.organise(BOTH, open_names=("aged",))
        async with (
            world.caller("own", key=KEY) as caller,
            world.caller("current", key=KEY) as inside,
            world.caller("current", key=KEY) as committing,
            world.caller("aged", key="any") as anybody,
        ):
            for each in (inside, committing):
                await each.ask("BEGIN")
                await each.ask("WRITE a 1")
            world.platform.is_down = True
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))
            await anyio.sleep(UNPROVEN_S)
            for text in ("READ a", "WRITE a 1", "BEGIN"):
                answer = await caller.ask(text)
                assert_that(answer[0], StartsWith("ERROR BUSY GP119"))
                assert_that(answer[1], Equals("READY I -"))
            failed = await inside.ask("WRITE a 2")
            assert_that(failed[0], StartsWith("ERROR ABORTED GP305"))
            assert_that(failed[1], Equals("READY E -"))
            failed = await committing.ask("COMMIT")
            assert_that(failed[0], StartsWith("ERROR ABORTED GP305"))
            assert_that(failed[1], Equals("READY I -"))
            answer, is_closed = await greet(world, "own", "wrong")
            assert_that(answer, StartsWith("ERROR BUSY GP119"))
            assert_that(is_closed, Is(True))
            assert_that((await anybody.ask("READ a"))[0], StartsWith("ROW - "))
            metrics = world.instances[0].render_metrics()
            assert_that(metrics, Contains(b"goldcrestpond_identity_proven 0"))
            assert_that(metrics, Contains(b"goldcrestpond_members_proven 0"))
            world.platform.is_down = False
            with anyio.fail_after(3):
                while (await caller.ask("READ a"))[0].startswith("ERROR"):
                    await anyio.sleep(0.02)
        [regained] = lines_of(world, "identity regained")
        assert_that(regained["refused_count"], GreaterThan(3))
        assert_that(lines_of(world, "identity unproven"), HasLength(1))

    run_organised(body, revoke_limit_ms=REVOKE_LIMIT_MS)


def test_without_a_limit_an_instance_out_of_touch_goes_on():
    async def body(world):
        async with world.caller("own", key=KEY) as caller:
            world.platform.is_down = True
            await anyio.sleep(UNPROVEN_S)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))

    run_organised(body)


# The newest version can't be meant; it may have withdrawn keys that the former one has.
def test_unreadable_version_keeps_no_key_alive_beyond_the_limit():
    async def body(world):
        async with world.caller("own", key=KEY) as caller:
            bodies = [make_organisation_body(name, ["same"]) for name in "ab"]
            world.configure(organisations=bodies)
            unreadable = await wait_for_line(world, "configuration unreadable")
            assert_that(unreadable["detail"], Contains("'a' and 'b' have the same key"))
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))
            await anyio.sleep(UNPROVEN_S)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ERROR BUSY GP119"))
            await world.organise(BOTH)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))

    run_organised(body, revoke_limit_ms=REVOKE_LIMIT_MS)


def _reload(world, tmp_path, **changes):
    instance = world.instances[0]
    path = tmp_path / "settings.json"
    settings = msgspec.structs.replace(instance._settings, **changes)
    path.write_bytes(msgspec.json.encode(settings))
    Instance.reload(instance, str(path))


def test_reloaded_limit_applies_at_once(tmp_path):
    async def body(world):
        def reload(**changes):
            _reload(world, tmp_path, **changes)

        async with world.caller("own", key=KEY) as caller:
            reload(revoke_limit_ms=REVOKE_LIMIT_MS)
            await anyio.sleep(2 * UNPROVEN_S)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))
            world.platform.is_down = True
            await anyio.sleep(UNPROVEN_S)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ERROR BUSY GP119"))
            reload(revoke_limit_ms=0)
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))

    run_organised(body)


# With rates but no limit for keys, the members' table was confirmed every 4 s only, and
# all organisations were refused in between.
def test_rates_without_a_revoke_limit_stay_proven_while_in_touch():
    async def body(world):
        await anyio.sleep(2.5)
        async with world.caller("own", key=KEY) as caller:
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW"))
        for _ in range(25):
            await anyio.sleep(0.1)
            for instance in world.instances:
                age = instance.directory.admission.meter._age()
                assert_that(age, Not(Is(None)))
        assert_that(lines_of(world, "rates unproven"), Equals([]))
        metrics = world.instances[0].render_metrics()
        assert_that(metrics, Not(Contains(b"identity_proven")))

    limits = {"rate_window_s": 5, "rate_overage": 0.1, "rate_slack": 20}
    run_organised(body, instance_count=2, apply_limit_ms=1000, **limits)


# The meter kept the limit of the start while the tables followed a greater one: it
# refused for part of each cycle; a smaller one did not reach it.
def test_reloaded_limit_of_rates_is_the_smaller_one_until_the_next_start(tmp_path):
    async def body(world):
        instance = world.instances[0]

        def limits():
            times = instance._table_follower._times
            return instance._rate_proof.limit, times.max_age

        at_start = limits()
        assert_that(at_start[0], Equals(timedelta(seconds=1)))
        for changes in ({"apply_limit_ms": 3000}, {"rate_window_s": 0}):
            _reload(world, tmp_path, **changes)
            assert_that(limits(), Equals(at_start))
        _reload(world, tmp_path, apply_limit_ms=600)
        assert_that(limits()[0], Equals(timedelta(milliseconds=600)))
        instance._rate_proof.limit = timedelta(0)
        assert_that(instance.directory.admission.is_proven(), Is(False))
        event = "rate settings apply at the next start"
        assert_that(lines_of(world, event), HasLength(3))

    limits = {"rate_window_s": 5, "rate_overage": 0.1, "rate_slack": 20}
    run_organised(body, apply_limit_ms=1000, **limits)
