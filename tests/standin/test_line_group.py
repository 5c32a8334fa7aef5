"""Promotion in a `LineGroup`: its cost and the lost commits that it records."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.standin.line_group import LineEntry, LineGroup

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
