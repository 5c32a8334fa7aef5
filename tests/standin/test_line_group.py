"""Commits, promotions, crashes and returns in a `LineGroup`."""

from datetime import timedelta

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan, StartsWith

from goldcrestpond.group.role import Role
from goldcrestpond.standin.line_group import LeadLost, LineEntry, LineGroup
from goldcrestpond.standin.line_session import LineSession

DATABASES = ["d1", "d2", "d3"]


@pytest.fixture
def comparisons(monkeypatch):
    """List with an element for each comparison of two log entries."""
    counts = []
    compare = LineEntry.__eq__

    def count_and_compare(one, other):
        counts.append(1)
        return compare(one, other)

    monkeypatch.setattr(LineEntry, "__eq__", count_and_compare)
    return counts


def _promote_after(commit_count):
    group = LineGroup("s", DATABASES)

    async def run():
        for number in range(commit_count):
            await group.commit(group.primary, [("a", str(number))])
        group.promote("d3")

    anyio.run(run)
    return group


# Guards against: a promotion that takes time quadratic in the number of commits. It
# blocked the event loop, so that statements timed out with an unknown outcome.
def test_commits_and_promotion_take_linear_time(comparisons):
    commit_count = 500
    _promote_after(commit_count)
    assert_that(len(comparisons), LessThan(5 * commit_count))


def test_promotion_records_acknowledged_commits_that_it_lost():
    group = LineGroup("s", DATABASES)

    async def run():
        await group.commit(group.primary, [("a", "1")])
        group.databases["d3"].is_cut_off = True
        await group.commit(group.primary, [("a", "2")])
        group.promote("d3")

    anyio.run(run)
    assert_that([e.writes for e in group.lost_acknowledged], Equals([(("a", "2"),)]))


async def _commit_in_background(tasks, group, database, outcomes):
    async def commit():
        try:
            await group.commit(database, [("a", "1")])
            outcomes.append("acknowledged")
        except LeadLost:
            outcomes.append("lead lost")

    tasks.start_soon(commit)
    await anyio.sleep(0.01)


def _run_with_pending_commit(body):
    """Run ``body`` while a commit waits, since no replica receives."""
    outcomes = []

    async def run():
        group = LineGroup("s", DATABASES)
        group.databases["d2"].paused_term = 2
        group.databases["d3"].is_cut_off = True
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                await _commit_in_background(tasks, group, group.primary, outcomes)
                assert_that(outcomes, Equals([]))
                await body(group)

    anyio.run(run)
    return outcomes


# Guards against: acknowledged commits that only a paused or cut-off replica has.
def test_commit_waits_until_a_replica_that_receives_has_it():
    async def body(group):
        group.replicate()
        await anyio.sleep(0.01)
        group.databases["d2"].paused_term = 0
        group.replicate()

    assert_that(_run_with_pending_commit(body), Equals(["acknowledged"]))


# Guards against: a commit acknowledged after another database leads, which no promotion
# is then blamed for.
def test_promotion_leaves_a_pending_commit_unanswered():
    async def body(group):
        group.promote("d2")

    assert_that(_run_with_pending_commit(body), Equals(["lead lost"]))


# Guards against: replicas that receive at once, so that none is ever behind.
def test_commit_is_acknowledged_after_the_delay_of_the_nearest_replica():
    async def run():
        group = LineGroup("s", DATABASES)
        group.databases["d2"].replication_delay_s = 0.05
        group.databases["d3"].replication_delay_s = 0.2
        started_at = group.clock.now()
        await group.commit(group.primary, [("a", "1")])
        passed = group.clock.now() - started_at
        assert_that(passed >= timedelta(milliseconds=50), Is(True))
        assert_that(group.databases["d2"].log, HasLength(1))
        assert_that(group.databases["d3"].log, HasLength(0))

    anyio.run(run)


async def _restart_after(commit_count, promotes):
    group = LineGroup("s", DATABASES)
    for number in range(commit_count):
        await group.commit(group.primary, [("a", str(number))])
    former = group.primary
    await anyio.sleep(0.005)
    group.crash("d1")
    if promotes:
        group.promote("d2")
    return group, former, group.restart("d1", "d4")


# Guards against: a stand-in whose crashed primary keeps its id or loses its log.
@pytest.mark.parametrize(
    "promotes, role", [(False, Role.PRIMARY), (True, Role.REPLICA)]
)
def test_crashed_primary_returns_with_its_log_under_a_new_id(promotes, role):
    async def run():
        group, former, restarted = await _restart_after(3, promotes)
        assert_that(sorted(group.databases), Equals(["d2", "d3", "d4"]))
        assert_that(restarted.role, Is(role))
        assert_that(restarted.log, Equals(former.log))
        assert_that(restarted.born_ms > former.born_ms, Is(True))

    anyio.run(run)


# Guards against: a replica that keeps commits which the new primary lacks.
def test_replica_ahead_is_rolled_back_and_busy():
    async def run():
        group = LineGroup("s", DATABASES)
        group.databases["d3"].is_cut_off = True
        await group.commit(group.primary, [("a", "1")])
        promotion = group.promote("d3")
        ahead = group.databases["d2"]
        assert_that(ahead.log, Equals([]))
        assert_that(ahead.busy_until > group.clock.now(), Is(True))
        assert_that(promotion.holders, Equals(("d1", "d2")))
        assert_that([c.database_id for c in promotion.lost], Equals(["d1"]))
        group.promote("d2")
        assert_that(group.lost_acknowledged, HasLength(1))

    anyio.run(run)


# Guards against: a replica without a log that counts as one before it has copied.
def test_new_replica_receives_after_its_copy():
    async def run():
        group = LineGroup("s", DATABASES)
        await group.commit(group.primary, [("a", "1")])
        replica = group.add_replica("d4", 0.02)
        group.replicate()
        assert_that(replica.log, Equals([]))
        await anyio.sleep(0.05)
        assert_that(replica.log, Equals(group.primary.log))

    anyio.run(run)


def _query(group, database_id, text):
    async def run():
        session = LineSession(group, group.databases[database_id])
        return (await session.answer("-", text))[0]

    return anyio.run(run)


# Guards against: a primary of an old term that goes on leading after STEPDOWN.
def test_stepdown_ends_the_lead_of_a_lower_term_only():
    group = LineGroup("s", DATABASES)
    assert_that(_query(group, "d1", "STEPDOWN 1"), StartsWith("ROW primary 1"))
    assert_that(_query(group, "d1", "STEPDOWN 2"), StartsWith("ROW replica 1"))
    assert_that(group.find_primary(), Is(None))


# Guards against: STATUS that shows a replica as current which receives nothing.
def test_status_tells_the_term_held_and_the_lag():
    group = LineGroup("s", DATABASES)
    assert_that(_query(group, "d2", "PAUSE 1").split()[4], Equals("0"))
    assert_that(_query(group, "d2", "PAUSE 5").split()[4], Equals("5"))
    group.databases["d2"].current_at -= timedelta(milliseconds=300)
    lag_ms = int(_query(group, "d2", "STATUS").split()[5])
    assert_that(lag_ms >= 300, Is(True))
    assert_that(_query(group, "d3", "STATUS").split()[5], Equals("0"))
