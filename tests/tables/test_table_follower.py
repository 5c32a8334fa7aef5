"""A fleet under faults: nothing goes back, ages are true, changes arrive in time."""

import anyio
import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from goldcrestpond.serving.follower_list import FOLLOWER_LIFETIME
from goldcrestpond.tables import table_follower

from ..virtual_time import run_in_virtual_time
from .fleet_world import APPLY_LIMIT, run_fleet

LIMIT_S = APPLY_LIMIT.total_seconds()
# A change must be in force in time from here on after a disturbance.
CALM_S = 4.0


def run(body, count=6, zones=3):
    run_in_virtual_time(lambda: run_fleet(count, zones, body))


async def change_is_in_force(world, limit_s=LIMIT_S):
    """Write a configuration; return when it was in force everywhere."""
    world.configure()
    _, version = world.written[-1]
    began_at = anyio.current_time()
    with anyio.fail_after(limit_s):
        while any(i.configuration < version for i in world.instances.values()):
            await anyio.sleep(0.01)
    return anyio.current_time() - began_at


@pytest.mark.parametrize("count", [1, 2, 6, 24, 61, 195])
def test_one_instance_reads_and_changes_arrive_at_once(count):
    async def body(world):
        assert_that(world.readers(), HasLength(1))
        assert_that(await change_is_in_force(world), LessThan(0.1))
        assert_that(
            {tuple(i.members) for i in world.instances.values()},
            Equals({tuple(sorted(world.names))}),
        )

    run(body, count, 5)


# Control work that grew with the fleet: 1.25 calls a second of each instance.
@pytest.mark.parametrize("count", [6, 24, 61, 195])
def test_calls_to_the_store_do_not_grow_with_the_fleet(count):
    async def body(world):
        before = world.total_calls()
        await anyio.sleep(60)
        assert_that((world.total_calls() - before) / 60, LessThan(2.5))

    run(body, count, 5)


# A fleet that starts at once, also after all have lost power.
@pytest.mark.parametrize("count", [24, 195])
def test_start_of_all_instances_takes_few_calls_each(count):
    async def body(world):
        for name in world.names:
            world.kill(name)
        await anyio.sleep(1.5)
        before = world.total_calls()
        for name in world.names:
            world.start(name)
        assert_that(await change_is_in_force(world, 1.0), LessThan(0.5))
        await anyio.sleep(8)
        assert_that((world.total_calls() - before) / count, LessThan(6))
        assert_that(world.readers(), HasLength(1))

    run(body, count, 5)


@pytest.mark.parametrize("fault", ["killed", "cut from the store", "cut from all"])
def test_next_reader_takes_over_if_the_first_is(fault):
    async def body(world):
        [first] = world.readers()
        before = world.total_calls()
        if fault == "killed":
            world.kill(first)
        else:
            world.cut_store([first])
        if fault == "cut from all":
            world.cut_links([(first, name) for name in world.names])
            del world.instances[first]  # it can't know the change
        await change_is_in_force(world)
        await anyio.sleep(5)
        assert_that((world.total_calls() - before), LessThan(60))

    run(body, 24, 5)


# A planned stop: the reader still runs for seconds, and nobody follows it any more.
def test_leaving_reader_hands_over_while_it_still_runs():
    async def body(world):
        [first] = world.readers()
        before = world.total_calls()
        await world.instances[first].follower.leave()
        await anyio.sleep(1)
        readers = {i.follower.reader for n, i in world.instances.items() if n != first}
        assert_that(len(readers), Equals(1))
        assert_that(readers & {"", first}, Equals(set()))
        assert_that(world.total_calls() - before, LessThan(30))

    run(body, 24, 5)


# A stopping instance asked on until it ended, and counted as a member again.
def test_leaving_follower_is_no_member_and_is_still_told_changes():
    async def body(world):
        name = next(n for n in world.names if n not in world.readers())
        await world.instances[name].follower.leave()
        await anyio.sleep(3)
        assert_that(await change_is_in_force(world), LessThan(0.5))
        others = {tuple(i.members) for n, i in world.instances.items() if n != name}
        assert_that(others, Equals({tuple(sorted(set(world.names) - {name}))}))

    run(body, 6, 3)


# An unexpected error starts the loop again; it read every table twice from then on.
def test_reader_that_starts_again_after_an_error_reads_once():
    async def body(world):
        [first] = world.readers()
        follower = world.instances[first].follower
        await follower._start()
        before = world.total_calls()
        await anyio.sleep(20)
        assert_that((world.total_calls() - before) / 20, LessThan(2.5))

    run(body, 6, 3)


# The loss of all readers: no herd of hundreds that read the store.
def test_loss_of_all_readers_is_survived_in_time():
    async def body(world):
        plans = [i.follower._current_plan() for i in world.instances.values()]
        readers = {m.name for plan in plans for m in plan.sources}
        for name in readers | set(world.readers()):
            world.kill(name)
        await change_is_in_force(world)
        # The others read the store until the dead are no longer members.
        await anyio.sleep(40)
        assert_that(world.readers(), HasLength(1))

    run(body, 24, 5)


# The store turns a third of the instances away, and serves the others.
def test_instances_that_the_store_refuses_are_served_by_others():
    async def body(world):
        world.cut_store(world.names[::3])
        for _ in range(3):
            assert_that(await change_is_in_force(world), LessThan(LIMIT_S))
            await anyio.sleep(2)

    run(body, 24, 5)


def test_instance_that_no_other_reaches_reads_the_store():
    async def body(world):
        alone = next(n for n in world.names if n not in world.readers())
        world.cut_links([(alone, name) for name in world.names])
        assert_that(await change_is_in_force(world), LessThan(LIMIT_S))
        assert_that(world.instances[alone].follower.is_reading, Is(True))
        world.heal()
        await anyio.sleep(8)
        assert_that(world.readers(), HasLength(1))

    run(body, 6, 3)


def test_frozen_follower_stays_a_member_and_a_dead_one_does_not():
    async def body(world):
        name = next(n for n in world.names if n not in world.readers())
        world.kill(name)
        await anyio.sleep(FOLLOWER_LIFETIME.total_seconds() - 2)
        members = {tuple(i.members) for i in world.instances.values()}
        assert_that(members, Equals({tuple(sorted(world.names))}))
        await anyio.sleep(4)
        remaining = tuple(sorted(set(world.names) - {name}))
        members = {tuple(i.members) for i in world.instances.values()}
        assert_that(members, Equals({remaining}))

    run(body, 6, 3)


# An instance that starts right after the store's return served by the copy.
def test_instance_that_starts_after_a_restore_knows_what_its_peers_know():
    async def body(world):
        name = next(n for n in world.names if n not in world.readers())
        world.rows.save_snapshot()
        await change_is_in_force(world)
        world.kill(name)
        world.rows.restore_copy()
        world.notify()
        world.start(name)
        with anyio.fail_after(2):
            while name not in world.instances:
                await anyio.sleep(0.01)
            instance = world.instances[name]
            while not (instance.follower.is_started and instance.configuration):
                await anyio.sleep(0.001)
        assert_that(instance.configuration, Equals(world.written[-1][1]))

    run(body, 6, 3)


_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["kill", "start", "cut store", "cut link", "cut instance"]
            + ["heal", "save", "restore", "configure", "wait"]
        ),
        st.integers(0, 7),
        st.integers(0, 7),
    ),
    max_size=25,
)


async def _apply_fault(world, kind, first, second):
    names = world.names
    first, second = names[first % len(names)], names[second % len(names)]
    match kind:
        case "kill":
            world.kill(first)
        case "start":
            world.start(first)
        case "cut store":
            world.cut_store([first, second])
        case "cut link":
            world.cut_links([(first, second)])
        case "cut instance":
            world.cut_links([(first, name) for name in names])
        case "heal":
            world.heal()
        case "save":
            world.rows.save_snapshot()
        case "restore":
            world.restore()
        case "configure":
            world.configure()
        case "wait":
            await anyio.sleep(2)
    await anyio.sleep(0.3)


def _check_ages(world):
    """A known age must not be younger than the truth."""
    now = anyio.current_time()
    for instance in world.instances.values():
        age = instance.follower.age()
        if age is None:
            continue
        known_until = now - age.total_seconds()
        due = max(version for at, version in world.written if at <= known_until)
        assert_that(instance.configuration >= due, Is(True))


def _run_faults(count, faults):
    async def body(world):
        for fault in faults:
            await _apply_fault(world, *fault)
            _check_ages(world)
        world.heal()
        for name in world.names:
            world.start(name)
        calls = world.total_calls()
        await anyio.sleep(CALM_S)
        assert_that(await change_is_in_force(world), LessThan(LIMIT_S))
        # Calls stay bounded: at most what each instance did by itself before.
        assert_that((world.total_calls() - calls) / CALM_S, LessThan(8 * count + 8))
        for instance in world.instances.values():
            versions = [version for _, version in instance.applied]
            assert_that(versions, Equals(sorted(versions)))

    run(body, count, 3)


@settings(max_examples=25)
@given(st.integers(2, 8), _FAULTS)
def test_any_faults_leave_ages_true_and_changes_in_time(count, faults):
    _run_faults(count, faults)


# Broken variants: each must be caught by the checks above.
def test_an_age_that_ignores_the_source_is_caught(monkeypatch):
    apply = table_follower.TableFollower._apply

    def apply_as_fresh(follower, answer, sent_at):
        apply(follower, answer, sent_at)
        for feed in follower._feeds.values():
            feed.copy.confirm(sent_at)
        return True

    monkeypatch.setattr(table_follower.TableFollower, "_apply", apply_as_fresh)
    faults = [("cut store", 0, 1), ("cut store", 2, 2), ("configure", 0, 0)]
    with pytest.raises(BaseException) as caught:
        _run_faults(3, faults + [("wait", 0, 0)] * 2)
    assert_that(caught.group_contains(AssertionError), Is(True))


def test_a_reader_that_never_yields_to_the_store_is_caught(monkeypatch):
    monkeypatch.setattr(
        table_follower.TableFollower, "_must_read", lambda follower, plan: False
    )
    with pytest.raises(BaseException) as caught:
        test_loss_of_all_readers_is_survived_in_time()
    assert_that(caught.group_contains(TimeoutError), Is(True))
