"""Statements of callers through instances to databases, with a store on loopback."""

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, MatchesRegex, StartsWith

from ..line_world import run_in_world

SERVICE_OF_OTHERS = "others"


def test_answers_carry_the_signatures_of_databases():
    async def body(world):
        for database in ("current", "own"):
            async with world.caller(database) as caller:
                written = await caller.ask(f"WRITE {database} 7 litres")
                read = await caller.ask(f"READ {database}")
                assert_that(written[0], MatchesRegex("COMPLETE r[0-9]+"))
                assert_that(read[0], StartsWith("ROW 7 litres"))
                assert_that(read[1], MatchesRegex("COMPLETE r[0-9]+"))
                assert_that(read[2], Equals("READY I -"))

    run_in_world(body)


def test_unknown_database_is_refused_and_closed():
    async def body(world):
        host, port = world.instances[0].caller_address
        stream = await anyio.connect_tcp(host, port)
        await stream.send(b"CONNECT nobody test\r\n")
        answer = await stream.receive()
        assert_that(answer.decode(), StartsWith("ERROR NODB GP102"))

    run_in_world(body)


def test_transaction_keeps_its_connection_and_commits():
    async def body(world):
        async with world.caller("own") as caller, world.caller("own") as other:
            assert_that(await caller.ask("BEGIN"), Equals(["COMPLETE -", "READY T -"]))
            await caller.ask("WRITE a 1")
            seen_before = await other.ask("READ a")
            committed = await caller.ask("COMMIT")
            seen_after = await caller.ask("READ a")
            assert_that(seen_before[0], StartsWith("ROW - "))
            assert_that(committed[-1], Equals("READY I -"))
            assert_that(seen_after[0], StartsWith("ROW 1 "))

    run_in_world(body)


def test_rollback_discards_writes():
    async def body(world):
        async with world.caller("current") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            rolled_back = await caller.ask("ROLLBACK")
            assert_that(rolled_back, Equals(["COMPLETE -", "READY I -"]))
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW - "))

    run_in_world(body)


def test_disconnect_inside_a_transaction_rolls_it_back():
    async def body(world):
        async with world.caller("current") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
        async with world.caller("current") as caller:
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW - "))

    run_in_world(body)


def test_session_values_and_prepared_statements_are_per_caller():
    async def body(world):
        async with world.caller("own") as one, world.caller("own") as two:
            await one.ask("SET lang it")
            await two.ask("SET tone warm")
            await one.ask("PREPARE s READ q1")
            await two.ask("PREPARE s WRITE q1")
            for _ in range(3):
                of_one = await one.ask("EXECUTE s a")
                of_two = await two.ask("EXECUTE s a 5")
                plain = await two.ask("READ a")
                assert_that(of_one[0], Contains("[('lang', 'it')]"))
                assert_that(of_two[0], StartsWith("COMPLETE r"))
                assert_that(plain[0], Contains("[('tone', 'warm')]"))

    run_in_world(body)


def test_deallocated_statement_is_unknown():
    async def body(world):
        async with world.caller("own") as caller:
            await caller.ask("PREPARE s READ q1")
            await caller.ask("DEALLOC s")
            answer = await caller.ask("EXECUTE s a")
            assert_that(answer[0], StartsWith("ERROR NOSTMT"))

    run_in_world(body)


def test_malformed_statement_leaves_the_session_usable():
    async def body(world):
        async with world.caller("own") as caller:
            for text in (
                "SELECT 1",
                "SINCE 1.1 READ a",
                "STATUS",
                "PAUSE 9",
                "BEGIN X",
            ):
                answer = await caller.ask(text)
                assert_that(answer[0], StartsWith("ERROR MALFORMED"))
                assert_that(answer[1], Equals("READY I -"))
            assert_that((await caller.ask("READ a"))[1], StartsWith("COMPLETE r"))

    run_in_world(body)


def test_pipelined_statements_are_answered_in_order():
    async def body(world):
        async with world.caller("own") as caller:
            await caller.send(b"QUERY 1 WRITE a 1\r\nQUERY 2 READ a\r\nQUE")
            assert_that(await caller.read_line(), StartsWith("COMPLETE"))
            assert_that(await caller.read_line(), Equals("READY I -"))
            assert_that(await caller.read_line(), StartsWith("ROW 1"))
            await caller.read_line()
            await caller.read_line()
            await caller.send(b"RY 3 READ a\r\n")
            assert_that(await caller.read_line(), StartsWith("ROW 1"))

    run_in_world(body)


def test_lost_answer_of_a_write_is_reported_in_doubt_and_it_runs_once():
    async def body(world):
        world.configure(timeout_ms=300)
        await anyio.sleep(0.2)
        async with world.caller("current") as caller:
            await caller.ask("READ a")
            world.servers.should_lose_answer = lambda text: text.startswith("WRITE")
            answer = await caller.ask("WRITE a 1")
            assert_that(answer[0], StartsWith("ERROR INDOUBT"))
            world.servers.should_lose_answer = lambda text: False
            writes = [e for e in world.group.executions if e[2] == "WRITE"]
            assert_that(writes, HasLength(1))

    run_in_world(body)


def test_lost_answer_inside_a_transaction_is_reported_as_rolled_back():
    async def body(world):
        world.configure(timeout_ms=300)
        await anyio.sleep(0.2)
        async with world.caller("current") as caller:
            await caller.ask("BEGIN")
            world.servers.should_lose_answer = lambda text: text.startswith("WRITE")
            answer = await caller.ask("WRITE a 1")
            assert_that(answer[0], StartsWith("ERROR ABORTED"))
            assert_that(answer[1], Equals("READY E -"))
            world.servers.should_lose_answer = lambda text: False
            await caller.ask("ROLLBACK")
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW - "))

    run_in_world(body)


def test_lost_answer_of_a_commit_is_reported_in_doubt():
    async def body(world):
        world.configure(timeout_ms=300)
        await anyio.sleep(0.2)
        async with world.caller("current") as caller:
            await caller.ask("BEGIN")
            await caller.ask("WRITE a 1")
            world.servers.should_lose_answer = lambda text: text == "COMMIT"
            answer = await caller.ask("COMMIT")
            assert_that(answer[0], StartsWith("ERROR INDOUBT"))
            assert_that(answer[1], Equals("READY I -"))

    run_in_world(body)


def test_read_with_a_lost_answer_is_retried():
    async def body(world):
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 1")
            lost = []

            def lose_once(text):
                is_read = text.partition(" ")[2].endswith("READ a")
                is_lost = (is_read or text == "READ a") and not lost
                lost.extend([text] * is_lost)
                return is_lost

            world.servers.should_lose_answer = lose_once
            answer = await caller.ask("READ a")
            assert_that(lost, HasLength(1))
            assert_that(answer[0], StartsWith("ROW 1"))

    run_in_world(body)


def test_reads_go_to_the_leader_if_replicas_lag():
    async def body(world):
        for database in world.group.databases.values():
            database.is_replay_paused = True
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 1")
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW 1"))
        async with world.caller("current") as caller:
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW 1"))

    run_in_world(body)


def test_replaced_primary_serves_no_current_read():
    async def body(world):
        async with world.caller("current") as caller:
            await caller.ask("WRITE a 1")
            # The old primary receives no new log entries but still answers reads.
            world.group.databases["d1"].is_cut_off = True
            world.group.promote("d2")
            async with world.caller("current") as other:
                await other.ask("WRITE a 2")
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW 2"))

    run_in_world(body)


def test_replacement_of_a_crashed_leader_keeps_acknowledged_writes():
    async def body(world):
        async with world.caller("own", world.instances[0]) as caller:
            for number in range(5):
                await caller.ask(f"WRITE a {number}")
            await world.servers.crash("d1")
            with anyio.fail_after(12):
                answer = await caller.ask("WRITE a last")
                while answer[0].startswith("ERROR BUSY"):
                    answer = await caller.ask("WRITE a last")
            assert_that(answer[0], StartsWith("COMPLETE r"))
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW last"))
        assert_that(world.platform.promotions, HasLength(1))
        assert_that(world.group.lost_acknowledged, Equals([]))

    run_in_world(body, instance_count=3)


def test_draining_leader_is_replaced_without_a_refused_statement():
    async def body(world):
        async with world.caller("current") as caller:
            await caller.ask("WRITE a 0")
            world.register(d1={"state": "draining"})
            refused = []
            with anyio.fail_after(12):
                while not world.platform.promotions:
                    answer = await caller.ask("WRITE a 1")
                    refused += [answer[0]] * answer[0].startswith("ERROR")
            assert_that((await caller.ask("WRITE a 2"))[0], StartsWith("COMPLETE r"))
            assert_that(refused, Equals([]), world.failures())
        assert_that(world.group.lost_acknowledged, Equals([]))

    run_in_world(body)


def test_configuration_is_applied_within_a_second_and_never_reverts():
    async def body(world):
        world.configure(names=("own",))
        await anyio.sleep(0.5)
        version = world.instances[0].directory.table.version
        assert_that(set(world.instances[0].directory.table.routes), Equals({"own"}))
        none = {"columns": [], "rows": []}
        old = {"configVersion": 1, "routes": none, "services": none}
        world.platform.put("op", "config", old)
        await anyio.sleep(0.3)
        assert_that(world.instances[0].directory.table.version, Equals(version))
        world.platform.put("op", "config", b"not json")
        world.platform.discard_history()
        await anyio.sleep(0.5)
        world.version = 10
        world.configure()
        await anyio.sleep(0.5)
        assert_that(world.instances[0].directory.table.version, Equals(11))

    run_in_world(body)


def test_callers_are_served_while_the_store_is_down():
    async def body(world):
        async with world.caller("own") as caller:
            await caller.ask("WRITE a 1")
            world.platform.is_down = True
            await anyio.sleep(0.5)
            await caller.ask("WRITE a 2")
            assert_that((await caller.ask("READ a"))[0], StartsWith("ROW 2"))

    run_in_world(body)


def test_invalid_registry_entries_are_ignored():
    async def body(world):
        world.platform.put("servers", "x1", b"\xff")
        world.platform.put("servers", "x2", {"serviceName": SERVICE_OF_OTHERS})
        world.platform.put("servers", "x3", [])
        await anyio.sleep(1.3)
        async with world.caller("own") as caller:
            assert_that((await caller.ask("WRITE a 1"))[0], StartsWith("COMPLETE r"))
        services = world.instances[0].directory.services
        assert_that(set(services), Equals({"fuel"}))

    run_in_world(body)


def test_instance_started_during_a_drain_sends_no_work_to_the_draining_leader():
    """The draining leader stays: the status of no candidate can be read."""

    async def body(world):
        await world.servers.crash("d2")
        world.register(d1={"state": "draining"})
        late = await world.start_instance("late")
        async with world.caller("current", late) as caller:
            with anyio.fail_after(2):
                answer = await caller.ask("WRITE a 1")
            assert_that(answer[0], StartsWith("ERROR BUSY GP201"))
        ran_at = {database for database, _, _ in world.group.executions}
        assert_that("d1" in ran_at, Equals(False))

    run_in_world(body)


# A leaving leader was not replaced until it had ended, and all writes were refused: an
# instance that had started meanwhile didn't know up to where commits were acknowledged.
def test_leaving_leader_is_replaced_though_an_instance_started_during_its_drain():
    async def body(world):
        await world.servers.crash("d2")
        world.register(d1={"state": "draining"})
        late = await world.start_instance("late")
        async with world.caller("own") as caller, world.caller("own", late) as other:
            with anyio.fail_after(8):
                while not world.platform.promotions:
                    await other.ask("WRITE a 1")
                    await caller.ask("WRITE a 2")
            answer = await other.ask("WRITE a 3")
            assert_that(answer[0], StartsWith("COMPLETE r"), world.failures())
        assert_that(world.group.lost_acknowledged, Equals([]))

    run_in_world(body)
