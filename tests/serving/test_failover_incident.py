"""Scenarios in which failovers lost acknowledged commits, one for each fault."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.root.instance import REGISTRY_SPACING
from goldcrestpond.serving.log_member_recorder import LogMemberRecorder

from .failover_world import FailoverWorld, Link, StoreOfInstance, play

START_S = 4.0  # nothing is claimed in the first seconds of a process
BACK_S = 8.0  # writes are back within this time
END_S = 10.0  # how long a world goes on once its faults are over


def assert_kept(world):
    """No acknowledged commit is lost, and writes are back after the last fault."""
    assert_that(world.losses, Equals([]), world.story())
    assert_that(world.errors + world.faults, Equals([]), world.story())
    assert_writable(world, world.healed_at_s)


def assert_writable(world, since_s):
    assert_that(world.longest_gap_s(since_s), LessThan(BACK_S), world.story())


async def until_pending(world):
    await world.until(lambda: world.pending)


# Failure: commits that only a replica has which starts while a promotion is pending are
# lost; the old leader works, and is cut off from some instances only.
def test_replica_that_starts_while_a_promotion_is_pending():
    async def script(world):
        await anyio.sleep(START_S)
        world.cut(["i1", "i2"], "d1")
        await until_pending(world)
        world.start_replica("d4")
        await anyio.sleep(3)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: the leader is back under a new id while its successor's promotion is pending;
# the block of commits ends with the epoch.
@pytest.mark.parametrize("is_killed", [True, False])
def test_leader_that_returns_while_a_promotion_is_pending(is_killed):
    async def script(world):
        await anyio.sleep(START_S)
        world.crash("d1", "d3")
        await until_pending(world)
        if is_killed:
            world.kill(world.claimant(), down_s=0)
        else:
            world.cut([world.claimant()], "d1'")
        await anyio.sleep(0.1)
        world.restore("d1", "d3")
        await anyio.sleep(2)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: instances that all start again don't know of a replica that was lost before,
# which had commits that the only other one lacks; the leader would be back with them.
def test_replica_that_is_forgotten_at_a_restart():
    async def script(world):
        await anyio.sleep(START_S)
        world.deafen("d2")
        await anyio.sleep(0.7)
        world.crash("d3", is_gone=True)
        await anyio.sleep(3.6)
        world.crash("d1")
        await anyio.sleep(3)
        world.kill("i1", "i2", "i3", "i4", down_s=1)
        await anyio.sleep(7)
        world.heal()
        world.restore("d1")
        await anyio.sleep(END_S)

    assert_kept(play(script))


async def first_incident(world):
    """Let a failover be given up: a replica and an instance can't be read."""
    await anyio.sleep(START_S)
    world.crash("d3")
    await anyio.sleep(0.6)
    world.freeze("i4", 5.0)
    world.cut(["i1", "i2", "i3"], "d1")


# Failure: the time for which an incident waited counts for a later one, in which a
# replica that is behind is promoted at once.
def test_wait_of_an_earlier_incident():
    async def script(world):
        await first_incident(world)
        await anyio.sleep(3)
        world.heal()
        world.restore("d3")
        await anyio.sleep(35)
        world.deafen("d2")
        await anyio.sleep(3)
        world.crash("d1", "d3'")
        await anyio.sleep(4)
        world.heal()
        world.restore("d1", "d3'")
        await anyio.sleep(END_S)

    assert_kept(play(script))


# Failure: the leader and the only replica that received its commits are lost for good,
# and after a wait the other replica is promoted, although instances know what it lacks.
# Where none knows, since all have started again, the service must go on.
@pytest.mark.parametrize("is_known", [True, False])
def test_databases_with_the_last_commits_are_lost_for_good(is_known):
    async def script(world):
        await anyio.sleep(START_S)
        world.deafen("d3")
        await anyio.sleep(2)
        world.crash("d1", "d2", is_gone=True)
        if not is_known:
            world.kill(*world.instances)
        await anyio.sleep(1)
        world.heal()
        await anyio.sleep(60)

    world = play(script)
    assert_that(world.errors + world.faults, Equals([]), world.story())
    assert_that(len(world.events("promoted")), Equals(0 if is_known else 1))
    if is_known:
        assert_that(world.losses, Equals([]), world.story())


# Failure: a replica that a killed instance had paused is resumed by nobody: once the
# other replica is lost, writes fail, and later the log of the pause is promoted.
def test_replica_that_a_killed_instance_had_paused():
    async def script(world):
        await first_incident(world)
        await world.until(lambda: world.databases["d2"].paused_term)
        world.kill(world.claimant(), down_s=1)
        await anyio.sleep(3)
        world.heal()
        world.restore("d3")
        await anyio.sleep(4)
        world.crash("d3'", is_gone=True)
        await anyio.sleep(42)
        world.crash("d1")
        await anyio.sleep(7)
        world.restore("d1")
        await anyio.sleep(END_S)

    world = play(script)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: a promotion that was not answered is carried out later, when the leader
# is back and the candidate lacks what it has acknowledged since.
def test_promotion_that_is_carried_out_late():
    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(3, late_s=5.5, wait_s=0.7)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        await anyio.sleep(1)
        world.restore("d1")
        await anyio.sleep(2)
        world.deafen(world.events("promotion ordered")[0]["candidate"])
        await anyio.sleep(5)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: an attempt that wasn't answered ends by resuming the replicas, which another
# instance has paused since, under its own claim, for a promotion that is pending.
def test_attempt_that_resumes_what_another_has_paused():
    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(3, late_s=None, wait_s=0.08)
        world.cut(["i1", "i2", "i3"], "d1")
        await until_pending(world)
        world.deafen(world.pending[0])
        await anyio.sleep(3)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script, instance_count=5)
    assert_that(len(world.events("promotion ordered")) > 1, Equals(True))
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: an instance that starts again while a promotion is pending doesn't know that
# commits are held back.
def test_instance_that_starts_again_while_commits_are_held_back():
    async def script(world):
        await anyio.sleep(START_S)
        world.crash("d3")
        world.cut(["i1", "i2"], "d1")
        await until_pending(world)
        world.restore("d3")
        world.kill("i4", down_s=0.1)
        await anyio.sleep(3)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script)
    assert_that(len(world.events("commits held back")) > 0, Equals(True))
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: in a switchover the candidate becomes deaf, and a replica that starts before
# the promotion takes effect receives commits that the candidate lacks.
@pytest.mark.parametrize("lost_answers", [0, 3])
def test_replica_that_starts_during_a_switchover(lost_answers):
    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(lost_answers, late_s=0.002, wait_s=0.7)
        world.databases["d1"].is_draining = True
        await until_pending(world)
        world.deafen(world.pending[0])
        world.start_replica("d4")
        await anyio.sleep(3)
        world.heal()
        await anyio.sleep(END_S)

    world = play(script)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: the order that makes an earlier one void gets no answer either, and is
# carried out after it: the database that it names lacks what was acknowledged since.
def test_order_that_voids_is_carried_out_late():
    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(3, late_s=4.0, wait_s=0.7)
        world.lose_answers(8, late_s=4.5, wait_s=0.5, is_added=True)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        await anyio.sleep(1)
        world.restore("d1")
        await world.until(lambda: world.primary.database_id not in ("d1", "d1'"))
        world.lose_answers(0, late_s=None, wait_s=0)
        world.deafen("d1'")
        await anyio.sleep(END_S)
        world.heal()
        await anyio.sleep(END_S)

    assert_kept(play(script))


# Failure: an answer to PAUSE is lost; nobody resumes that replica, since it isn't known
# to be paused, and writes fail once the other one is lost.
def test_replica_whose_answer_to_a_pause_was_lost(monkeypatch):
    lost = []
    pause = Link.pause_replication

    async def pause_unanswered(link, term):
        answer = await pause(link, term)
        if link._database.database_id == "d2" and not lost:
            lost.append(link)
            await anyio.sleep(100)
        return answer

    async def script(world):
        await anyio.sleep(START_S)
        world.deafen("d3")
        await anyio.sleep(0.3)
        world.cut(["i1", "i2", "i3"], "d1")
        await world.until(lambda: lost)
        await anyio.sleep(0.05)
        world.heal()
        await anyio.sleep(END_S)
        paused = [d.paused_term for d in world.databases.values()]
        assert_that(paused, Equals([0, 0, 0]), world.story())

    monkeypatch.setattr(Link, "pause_replication", pause_unanswered)
    world = play(script)
    assert_that(len(lost), Equals(1))
    assert_kept(world)


# Failure: the claimant is killed and the others stand still for longer than a block
# lasts, so that nobody renews it: commits are sent, and the late order is carried out.
def test_block_that_nobody_can_renew():
    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(1, late_s=7.0, wait_s=0.9)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        await anyio.sleep(0.05)
        claimant = world.claimant()
        world.kill(claimant, down_s=20)
        for member in world.members:
            if member.name != claimant:
                world.freeze(member.name, 3.6)
        await anyio.sleep(1)
        world.restore("d1")
        await anyio.sleep(2.62)
        world.start_replica("d4")
        await anyio.sleep(12)
        world.healed_at_s = world.now_s()
        await anyio.sleep(END_S)

    assert_kept(play(script, instance_count=3))


# Failure: an instance that has left a replica paused, and is cut off from the leader,
# does not resume it, and no other knows of it.
def test_paused_replica_is_resumed_by_an_instance_that_does_not_reach_the_leader():
    async def script(world):
        await anyio.sleep(START_S)
        world.crash("d3")
        await anyio.sleep(0.6)
        world.freeze("i4", 1.5)
        world.cut(["i1", "i2", "i3"], "d1")
        await world.until(lambda: world.databases["d2"].paused_term)
        claimant = world.claimant()
        world.cuts = {(claimant, "d1"), (claimant, "d2")}
        await world.until(lambda: world.events("succession given up"))
        await anyio.sleep(0.8)
        world.restore("d3")
        await anyio.sleep(2)
        world.cuts = {(claimant, "d1")}
        await anyio.sleep(END_S)
        assert_that(world.databases["d2"].paused_term, Equals(0), world.story())

    assert_that(play(script).losses, Equals([]))


# Failure: an instance that the others don't reach isn't told to block commits, and
# sends them to the leader, whose replica has restarted, and receives, while paused.
def test_instance_that_its_peers_do_not_reach_blocks_commits(monkeypatch):
    is_cut = []
    connect = FailoverWorld._connect

    async def connect_unless_cut(world, host, port):
        if is_cut and port == 4:
            raise OSError("cut")
        return await connect(world, host, port)

    async def script(world):
        await anyio.sleep(START_S)
        is_cut.append(True)
        for stream in world.instances["i4"].streams:
            stream.close()
        world.cut(["i1", "i2", "i3"], "d1")
        await until_pending(world)
        world.crash("d3")
        world.restore("d3")
        await anyio.sleep(6)
        world.heal()
        await anyio.sleep(END_S)

    monkeypatch.setattr(FailoverWorld, "_connect", connect_unless_cut)
    assert_kept(play(script, instance_count=4))


# Failure: all instances start again while the store is away, send commits after 3.5 s
# without knowing of a pending order, and that is carried out late.
def test_start_without_the_store_while_an_order_is_pending(monkeypatch):
    away = []
    read = StoreOfInstance.read

    async def read_unless_away(store, table, part=""):
        if away:
            await anyio.sleep(0.3)
            raise CodedError(ResultCode.PLATFORM_UNAVAILABLE, "away")
        return await read(store, table, part)

    async def script(world):
        await anyio.sleep(START_S)
        world.lose_answers(1, late_s=9.0, wait_s=0.9)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        world.kill("i1", "i2", "i3", down_s=0.3)
        away.append(True)
        await anyio.sleep(1)
        world.restore("d1")
        await anyio.sleep(2)
        world.start_replica("d4")
        await anyio.sleep(7)
        away.clear()
        await anyio.sleep(END_S)
        world.healed_at_s = world.now_s()
        await anyio.sleep(END_S)

    monkeypatch.setattr(StoreOfInstance, "read", read_unless_away)
    assert_that(play(script, instance_count=3).losses, Equals([]))


# Failure: the store comes back from a copy that lacks the claim while its order is
# pending: nobody makes the order void, and commits are sent.
def test_store_that_comes_back_without_a_claim():
    async def script(world):
        await anyio.sleep(3.5)
        world.rows.save_snapshot()
        await anyio.sleep(0.5)
        world.lose_answers(3, late_s=9.0, wait_s=0.7)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        await anyio.sleep(0.3)
        world.rows.restore_copy()
        await anyio.sleep(0.7)
        world.restore("d1")
        await anyio.sleep(2)
        world.start_replica("d4")
        await anyio.sleep(2)
        world.deafen("d2")
        await anyio.sleep(END_S)
        world.heal()
        await anyio.sleep(END_S)

    assert_kept(play(script, instance_count=3))


# Failure: databases are replaced one after the other; while the first switchover is
# pending, commits are acknowledged that only the next new database has received, whose
# entry no instance has read yet.
@pytest.mark.parametrize("seed", range(5))
def test_releases_in_quick_succession(seed):
    async def script(world):
        await anyio.sleep(START_S)
        for database in world.databases.values():
            database.lag_s = 0.06
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.release, "d1", "n1", 0.06)
            await anyio.sleep(1.7)
            tasks.start_soon(world.release, "d2", "n2")
        await anyio.sleep(END_S)

    world = play(script, seed, registry_spacing=REGISTRY_SPACING)
    assert_kept(world)
    assert_writable(world, START_S)


# Failure: the leader and a replica crash, and the replica starts again under its id
# without its log, which counts as read: a replica that lacks acknowledged commits is
# promoted although the leader returns with them.
@pytest.mark.parametrize("seed", range(5))
def test_replica_that_starts_again_without_its_log(seed):
    async def script(world):
        await anyio.sleep(START_S)
        world.databases["d3"].lag_s = 0.1
        await anyio.sleep(1)
        world.crash("d1", "d2")
        await anyio.sleep(0.5)
        world.restart_empty("d2")
        await anyio.sleep(6)
        world.restore("d1")
        world.heal()
        await anyio.sleep(END_S)

    world = play(script, seed, registry_spacing=REGISTRY_SPACING)
    assert_kept(world)


# Failure: a promotion that was not answered is forgotten once another instance takes
# its claim over and orders nothing: it is carried out over the commits that go on.
@pytest.mark.parametrize("cause", ["silent instance", "killed", "log members"])
def test_promotion_of_a_claim_that_is_taken_over_and_given_up(cause, monkeypatch):
    orders = []
    read = LogMemberRecorder.read

    async def read_before_an_order(recorder, service):
        return not orders and await read(recorder, service)

    async def script(world):
        await anyio.sleep(START_S)
        if cause == "silent instance":
            world.kill("i4", down_s=100)  # it doesn't tell what it saw acknowledged
        await anyio.sleep(0.3)
        world.lose_answers(3, late_s=11.0, wait_s=0.9)
        world.crash("d1")
        await world.until(lambda: world.events("promotion ordered"))
        orders.extend(world.events("promotion ordered"))
        await anyio.sleep(0.6)
        world.cut([member.name for member in world.members], orders[0]["candidate"])
        if cause == "killed":
            await anyio.sleep(0.2)
            world.kill(world.claimant(), down_s=3.5)
        await anyio.sleep(3)
        world.restore("d1")
        await anyio.sleep(2)
        world.heal()
        await anyio.sleep(END_S)

    if cause == "log members":
        monkeypatch.setattr(LogMemberRecorder, "read", read_before_an_order)
    world = play(script, seed=0)
    assert_that(len(world.events("promotion ordered")), Equals(1), world.story())
    assert_kept(world)
