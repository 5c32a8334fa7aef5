"""Loads that start or recover, with and without the pace, in a model without a network.

Each figure is that of one fixed run of the model; the bounds leave room around it.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Is

from .paced_load import SLOTS, WORK_MS, PacedLoad

READS_PER_S = 400


def _start(paced, holder_count, databases=("leader", "r1", "r2"), seed=1):
    load = PacedLoad(paced, holder_count, seed)
    for name in databases:
        load.list_database(name)
    load.set_leader("leader")
    return load


def _check(condition, *figures):
    assert_that(condition, Is(True), str(figures))


def _play_restart(paced, holder_count):
    """Return the load, and the database that came back cold, at 2 s, into full load."""
    load = _start(paced, holder_count, ("leader", "r1"))
    load.send_reads(0, 6000, READS_PER_S + 20)
    load.run(2000)
    replica = load.databases["r2"]
    replica.work_ms = lambda now_ms: (
        WORK_MS * (1 + 3 * max(0, 1 - (now_ms - 2000) / 2000))
    )
    load.list_database("r2")
    load.run(6500)
    return load, replica


# Guards against: all callers are sent to a replica that has just restarted and is still
# cold, since nothing is known against it; or it stays idle.
@pytest.mark.parametrize("holder_count", [1, 2, 4, 6])
def test_a_replica_that_restarted_returns_under_full_load(holder_count):
    load, replica = _play_restart(True, holder_count)
    bare, bare_replica = _play_restart(False, holder_count)
    slow_count = load.slow_count(2000, 6500)
    bare_slow_count = bare.slow_count(2000, 6500)
    _check(slow_count == 0 < bare_slow_count, slow_count, bare_slow_count)
    queued = replica.max_queued(2000, 4000)
    bare_queued = bare_replica.max_queued(2000, 4000)
    _check(queued * 2 < bare_queued, queued, bare_queued)
    _check(min(replica.answered_at) < 2100)
    _check(replica.answered_count(5000, 6000) > 40)


# Guards against: six holders, each of which has a window of one at least, send
# it at the same moment.
def test_six_holders_and_one_reborn_database():
    load, replica = _play_restart(True, 6)
    bare, bare_replica = _play_restart(False, 6)
    queued, bare_queued = (
        replica.max_queued(2000, 2100),
        bare_replica.max_queued(2000, 2100),
    )
    _check(queued == 0 and bare_queued >= SLOTS, queued, bare_queued)
    # Once it is warm it gets what it gets without a pace.
    share, bare_share = (
        replica.answered_count(4500, 6000),
        bare_replica.answered_count(4500, 6000),
    )
    _check(share > bare_share * 0.9, share, bare_share)


def _play_takeover(paced, holder_count):
    """Return the load, and the leader since 2.5 s, when 100 writes waited for it."""
    load = _start(paced, holder_count)
    load.send_reads(1000, 5000, 200)
    load.run(2500)
    for index in range(150):
        load.send_write(2500 + 10 * max(0, index - 100), "r1")
    load.set_leader("r1", 2)
    load.run(5000)
    return load, load.databases["r1"]


# Guards against: the writes that waited for a new leader all arrive at once, or it is
# starved by its pace.
@pytest.mark.parametrize("holder_count", [1, 2, 6])
def test_a_leader_that_just_took_over(holder_count):
    load, leader = _play_takeover(True, holder_count)
    bare, bare_leader = _play_takeover(False, holder_count)
    queued, bare_queued = (
        leader.max_queued(2500, 2560),
        bare_leader.max_queued(2500, 2560),
    )
    _check(queued <= bare_queued, queued, bare_queued)
    done, bare_done = (
        leader.answered_count(2500, 3200),
        bare_leader.answered_count(2500, 3200),
    )
    _check(done >= bare_done * 0.95, done, bare_done)
    slow_count, bare_slow_count = (
        load.slow_count(2500, 4500),
        bare.slow_count(2500, 4500),
    )
    _check(slow_count <= bare_slow_count * 1.15, slow_count, bare_slow_count)
    _check(load.refused_count == 0)


def _play_slowness(paced, holder_count):
    """Return the load, and the replica that takes 600 ms from 2 s to 8 s."""
    load = _start(paced, holder_count)
    load.send_reads(0, 14000, READS_PER_S)
    load.run(2000)
    replica = load.databases["r2"]
    replica.work_ms = lambda now_ms: 600 if 2000 <= now_ms < 8000 else WORK_MS
    load.run(14000)
    return load, replica


# Guards against: a database that answers again is left idle until pauses of up to 2 s
# have passed, or gets all of its work at once then.
@pytest.mark.parametrize("holder_count", [1, 2, 6])
def test_a_database_that_turned_slow_and_recovers(holder_count):
    load, replica = _play_slowness(True, holder_count)
    bare, _ = _play_slowness(False, holder_count)
    # What it runs at 8 s ends at 8.6 s at the latest.
    first_ms = min(at for at in replica.answered_at if at >= 8600)
    _check(first_ms < 8700, first_ms)
    _check(replica.answered_count(9000, 9500) > 70)
    _check(replica.max_queued(8600, 14000) <= SLOTS)
    slow_count, bare_slow_count = (
        load.slow_count(2000, 14000),
        bare.slow_count(2000, 14000),
    )
    _check(slow_count <= bare_slow_count, slow_count, bare_slow_count)


def _play_flaps(paced, holder_count, seed):
    """Return a load in which a replica is dark each other second from 2 s on."""
    load = _start(paced, holder_count, seed=seed)
    load.send_reads(0, 10000, READS_PER_S)
    load.run(2000)
    replica = load.databases["r2"]
    replica.is_dark = lambda now_ms: now_ms >= 2000 and now_ms // 1000 % 2 == 0
    load.run(10000)
    return load


# Guards against: a database that goes down and up by turns costs more callers for each
# one that it serves, or many more.
@pytest.mark.parametrize("holder_count", [1, 2, 6])
def test_a_database_that_flaps(holder_count):
    slow, served, queued = [], [], []
    for paced in (True, False):
        loads = [_play_flaps(paced, holder_count, seed) for seed in (1, 2, 3)]
        replicas = [load.databases["r2"] for load in loads]
        slow.append(sum(load.slow_count(2000, 10000) for load in loads))
        served.append(sum(r.answered_count(2000, 10000) for r in replicas))
        queued.append(max(r.max_queued(2000, 10000) for r in replicas))
    _check(served[0] > served[1], served)
    _check(slow[0] / served[0] < slow[1] / served[1], slow, served)
    _check(slow[0] < slow[1] * 1.3, slow)
    _check(queued[0] <= queued[1], queued)


def _play_errors(paced, holder_count):
    """Return the load, and the replica that fails every other statement, 2 s to 6 s."""
    load = _start(paced, holder_count)
    load.send_reads(0, 9000, READS_PER_S)
    load.run(2000)
    replica = load.databases["r2"]
    replica.fails = lambda now_ms: 2000 <= now_ms < 6000 and load.rng.random() < 0.5
    load.run(9000)
    return load, replica


# Guards against: a database that fails some of its statements keeps its share of them,
# since its failures alternate with answers.
@pytest.mark.parametrize(("holder_count", "part"), [(1, 0.3), (2, 0.5), (6, 0.8)])
def test_one_grey_database(holder_count, part):
    load, replica = _play_errors(True, holder_count)
    bare, bare_replica = _play_errors(False, holder_count)
    lost, bare_lost = load.lost_attempts_count, bare.lost_attempts_count
    _check(lost <= bare_lost * part, lost, bare_lost)
    after, bare_after = (
        replica.answered_count(7000, 9000),
        bare_replica.answered_count(7000, 9000),
    )
    _check(after >= bare_after * 0.9, after, bare_after)
