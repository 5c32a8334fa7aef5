"""The stand-in's group of databases, where it is held to bounded work."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.standin.line_group import LineEntry, LineGroup

DATABASES = ["d1", "d2", "d3"]


@pytest.fixture
def comparisons(monkeypatch):
    """Count how often two entries are compared."""
    counts = []
    compare = LineEntry.__eq__

    def counted(one, other):
        counts.append(1)
        return compare(one, other)

    monkeypatch.setattr(LineEntry, "__eq__", counted)
    return counts


def _promote_after(commit_count):
    group = LineGroup("s", DATABASES)

    async def run():
        for number in range(commit_count):
            await group.commit(group.primary, [("a", str(number))])
        group.promote("d3")

    anyio.run(run)
    return group


# Guards against: a promotion that stops the event loop, and all callers with it, for a
# time that grows with the square of the commits; statements then time out in doubt.
def test_work_of_commits_and_promotion_grows_with_their_number(comparisons):
    commit_count = 500
    _promote_after(commit_count)
    assert_that(len(comparisons), LessThan(5 * commit_count))


def test_lost_commits_are_still_told_at_a_promotion():
    group = LineGroup("s", DATABASES)

    async def run():
        await group.commit(group.primary, [("a", "1")])
        group.databases["d3"].is_cut_off = True
        await group.commit(group.primary, [("a", "2")])
        group.promote("d3")

    anyio.run(run)
    assert_that([e.writes for e in group.lost_acknowledged], Equals([(("a", "2"),)]))
