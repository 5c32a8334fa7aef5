"""Instances in touch prove their keys and members; those out of touch cease to."""

from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from goldcrestpond.serving.proven_age import ProvenAge, compute_proof_limit
from goldcrestpond.tables.table_times import make_table_times

from ..virtual_time import run_in_virtual_time
from .fleet_world import run_fleet

# Both limits alike: a change may take as long to be in force as a key to be withdrawn.
LIMIT = timedelta(seconds=5)
PROOF_LIMIT = compute_proof_limit(LIMIT)


def run(body, count, zones=3, proof_limit=PROOF_LIMIT):
    run_in_virtual_time(lambda: run_fleet(count, zones, body, proof_limit, LIMIT))


def ages_of(instance):
    now = instance.clock.now()
    return [instance.copy.age(now), instance.member_copy.age(now)]


async def observe(world, span_s, names=None):
    """Return the greatest age of a table on any of these instances for some time."""
    greatest = timedelta(0)
    until = anyio.current_time() + span_s
    while anyio.current_time() < until:
        for name in names or list(world.instances):
            if name in world.instances:
                greatest = max(greatest, *ages_of(world.instances[name]))
        await anyio.sleep(0.05)
    return greatest


# The members' feed waited for 4 s: a follower's copy was older than the proof lasts.
@pytest.mark.parametrize("count", [1, 6, 61])
def test_instance_in_touch_proves_its_tables(count):
    async def body(world):
        assert_that(await observe(world, 30), LessThan(PROOF_LIMIT))

    run(body, count, 5)


def test_waits_as_without_a_limit_are_caught():
    async def body(world):
        assert_that(await observe(world, 30), LessThan(PROOF_LIMIT))

    with pytest.raises(BaseException) as caught:
        run(body, 61, 5, None)
    assert_that(caught.group_contains(AssertionError), Is(True))


# The reader is lost without a word, or cut off; the next one takes over in time.
@pytest.mark.parametrize("fault", ["killed", "cut from the store", "cut from all"])
@pytest.mark.parametrize("count", [6, 61])
def test_loss_of_the_reader_leaves_the_others_proven(fault, count):
    async def body(world):
        [first] = world.readers()
        others = [name for name in world.names if name != first]
        if fault == "killed":
            world.kill(first)
        else:
            world.cut_store([first])
        if fault == "cut from all":
            world.cut_links([(first, name) for name in others])
        names = others if fault != "cut from the store" else world.names
        assert_that(await observe(world, 15, names), LessThan(PROOF_LIMIT))

    run(body, count, 5)


# All sources fall silent: each of them is asked in vain, while the tables age.
def test_loss_of_all_sources_leaves_the_others_proven():
    async def body(world):
        plans = [i.follower._current_plan() for i in world.instances.values()]
        lost = {member.name for plan in plans for member in plan.sources}
        others = [name for name in world.names if name not in lost]
        world.cut_store(lost)
        world.cut_links([(each, name) for each in lost for name in world.names])
        assert_that(await observe(world, 15, others), LessThan(PROOF_LIMIT))

    run(body, 61, 5)


# The store turns a third of the instances away, which their peers reach.
def test_instances_that_the_store_refuses_stay_proven():
    async def body(world):
        refused = world.names[::3]
        world.cut_store(refused)
        assert_that(await observe(world, 20), LessThan(PROOF_LIMIT))

    run(body, 24, 5)


# A single instance is cut off: it ceases to prove in time, and is back with one answer.
def test_instance_out_of_touch_ceases_and_regains_its_proof():
    async def body(world):
        name = next(n for n in world.names if n not in world.readers())
        instance = world.instances[name]
        proof = ProvenAge(PROOF_LIMIT, lambda: instance.copy.age(instance.clock.now()))
        world.cut_store([name])
        world.cut_links([(name, other) for other in world.names])
        cut_at = anyio.current_time()
        await anyio.sleep(1)
        assert_that(proof.is_proven(), Is(True))
        while proof.is_proven():
            await anyio.sleep(0.01)
        ceased_after_s = anyio.current_time() - cut_at
        assert_that(ceased_after_s, LessThan(PROOF_LIMIT.total_seconds() + 0.02))
        world.heal()
        with anyio.fail_after(5):
            while not proof.is_proven():
                await anyio.sleep(0.01)
        others = {n: ages_of(i)[0] for n, i in world.instances.items() if n != name}
        assert_that(max(others.values()), LessThan(PROOF_LIMIT))

    run(body, 6)


def test_store_away_ends_every_proof():
    async def body(world):
        world.cut_store(world.names)
        await anyio.sleep(PROOF_LIMIT.total_seconds())
        for instance in world.instances.values():
            assert_that(ages_of(instance)[0] >= PROOF_LIMIT, Is(True))

    run(body, 6)


def test_times_follow_the_smaller_limit():
    apply_limit = timedelta(seconds=3)
    plain = make_table_times(apply_limit)
    limited = make_table_times(apply_limit, apply_limit * 2)
    assert_that(limited, Equals(replace(plain, is_proof_limited=True)))
    tighter = make_table_times(apply_limit, apply_limit / 2)
    assert_that(tighter.max_age, Equals(plain.max_age / 2))
    assert_that(plain.store_wait, GreaterThan(tighter.store_wait))
