"""Tests of rows, feeds and members when the store is restored from a copy."""

import random
from datetime import timedelta

import anyio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is

from goldcrestpond.clock.manual_clock import ManualClock
from goldcrestpond.serving.members import (
    COPIED_LIFETIME,
    Member,
    Members,
    encode_member,
)
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.store_era import StoreEra
from goldcrestpond.serving.suspicions import SuspicionBody, Suspicions
from goldcrestpond.serving.table_copy import TableCopy
from goldcrestpond.serving.table_feed import TableFeed

from ..line_world import ListLog
from .fake_rows import FakeRows, FakeRowStore
from .row import row
from .test_leadership import ms


def _era(log=None, clock=None):
    return StoreEra(clock or ManualClock(), log or ListLog(), Metrics())


def _member_row(name, version, era):
    return row(name, version, encode_member(Member(name, "z", None), era))


def _live(members, now):
    return [member.name for member in members.live(now)]


def test_answers_of_an_earlier_era_are_rejected():
    log = ListLog()
    era = _era(log)
    assert_that(
        [era.accept_era(n) for n in (3, 3, 4, 3, 4)], Equals([True] * 3 + [False, True])
    )
    assert_that(era.current, Equals(4))
    assert_that(log.events(), Equals(["store came back from a copy"]))


def test_suspicions_of_a_copy_do_not_count():
    """Suspicions that were removed after the copy was taken are in the store again."""
    suspicions = Suspicions()
    suspicions.replace([row("s/a", 5, b'{"era":1}'), row("s/b", 6, b"{}")], ms(0), 2)
    assert_that(suspicions.suspecting_instances("s", ms(1)), Equals(set()))
    suspicions.update([row("s/a", 5, b'{"era":2}')], ms(1), 2)
    assert_that(suspicions.suspecting_instances("s", ms(1)), Equals({"a"}))
    assert_that(SuspicionBody().era, Equals(0))


def test_members_missing_from_a_copy_stay_live():
    """An old copy lacks the members that started after it was taken."""
    members = Members()
    rows = [_member_row("a", 7, 1), _member_row("b", 8, 1)]
    members.replace(rows, ms(0), 1)
    members.replace([_member_row("a", 3, 1)], ms(10), 2)
    assert_that(_live(members, ms(11)), Equals(["a", "b"]))
    members.replace([_member_row("a", 5, 2)], ms(2000), 2)
    assert_that(_live(members, ms(2001)), Equals(["a", "b"]))
    members.replace([], ms(3000), 2)
    assert_that(_live(members, ms(3001)), Equals(["b"]))


def test_member_of_a_copy_expires_unless_it_rewrites_its_row():
    """The member may have left after the copy was taken."""
    members = Members()
    members.replace([_member_row("left", 3, 1), _member_row("back", 4, 1)], ms(0), 2)
    assert_that(_live(members, ms(1)), Equals(["left", "back"]))
    members.replace([_member_row("left", 3, 1), _member_row("back", 9, 2)], ms(5), 2)
    assert_that(_live(members, COPIED_LIFETIME + ms(1)), Equals(["back"]))


def test_same_version_in_a_later_era_counts_as_a_change():
    members = Members()
    members.replace([_member_row("a", 7, 1)], ms(0), 1)
    members.replace([_member_row("a", 7, 2)], timedelta(seconds=20), 2)
    assert_that(_live(members, timedelta(seconds=40)), Equals(["a"]))


def test_feed_reads_the_whole_table_again_in_a_new_era():
    """The version after which it would read on exists again, with other rows."""
    rows = FakeRows()
    rows.put("t", "kept", b"1")
    rows.save_snapshot()
    rows.put("t", "lost", b"2")
    clock = ManualClock(ms(1000))
    era = _era(clock=clock)
    received = []

    async def body():
        feed = TableFeed(
            FakeRowStore(rows, era),
            TableCopy(
                "t",
                lambda rows: received.append(("all", [r.key for r in rows])),
                lambda rows: received.append(("some", [r.key for r in rows])),
            ),
            lambda: ms(1),
            ms(1),
            clock,
            random.Random(1),
            ListLog(),
        )
        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(feed.run)
                while not received:
                    await anyio.sleep(0)
                rows.restore_copy()
                rows.put("t", "new", b"3")
                while len(received) < 2:
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()

    anyio.run(body)
    assert_that(received[0], Equals(("all", ["kept", "lost"])))
    assert_that(received[1], Equals(("all", ["kept", "new"])))


def test_wait_for_change_ends_at_a_new_era():
    async def body():
        era = _era()
        era.accept_era(1)
        results = []

        async def wait():
            results.append(await era.wait_for_change(1, timedelta(seconds=5)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await anyio.sleep(0)
            era.accept_era(2)
        assert_that(results, Equals([True]))
        assert_that(await era.wait_for_change(2, ms(1)), Is(False))
        assert_that(await era.wait_for_change(1, ms(1)), Is(True))

    anyio.run(body)


def test_restores_of_the_store_are_counted():
    metrics = Metrics()
    era = StoreEra(ManualClock(), ListLog(), metrics)
    for number in (1, 2, 3):
        era.accept_era(number)
    text = metrics.render().decode()
    assert_that(text, Contains("goldcrestpond_store_returns_total 2"))
