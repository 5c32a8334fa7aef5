"""Entries that come, drain, lapse and come back."""

from dataclasses import replace

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.registry import UNKNOWN_DRAIN_AGE, UNLISTED_GRACE, Registry

from .test_leadership import database, ms


def test_lapsed_entry_is_kept_for_a_while_and_may_come_back():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.mark_unlisted("a", ms(10))
    assert_that(registry.leaving_since("a"), Equals(ms(10)))
    assert_that(registry.remove_unlisted(ms(20)), Is(False))
    registry.put(database("a"), ms(30))
    assert_that(registry.leaving_since("a"), Is(None))
    assert_that(registry.remove_unlisted(UNLISTED_GRACE + ms(40)), Is(False))
    assert_that(registry.leaving_since("a"), Is(None))


def test_lapsed_entry_is_forgotten_after_its_grace():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.replace([], ms(10))
    assert_that(registry.leaving_since("a"), Equals(ms(10)))
    assert_that(registry.remove_unlisted(UNLISTED_GRACE + ms(10)), Is(True))
    assert_that(registry.databases(), Equals([]))


def test_drain_counts_from_when_it_was_first_heard_of():
    registry = Registry()
    registry.put(database("a"), ms(0))
    leaving = replace(database("a"), is_draining=True)
    registry.put(leaving, ms(5))
    registry.put(leaving, ms(500))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))
    registry.put(database("a"), ms(600))
    assert_that(registry.leaving_since("a"), Is(None))
    assert_that(registry.leaving_since("b"), Is(None))


def test_one_that_is_first_heard_of_while_it_drains_gets_no_work():
    """A process that has just started cannot know since when it has been leaving."""
    registry = Registry()
    leaving = replace(database("a"), is_draining=True)
    registry.put(leaving, ms(5))
    assert_that(registry.leaving_since("a"), Equals(ms(5) - UNKNOWN_DRAIN_AGE))
    registry.put(leaving, ms(9))
    assert_that(registry.leaving_since("a"), Equals(ms(5) - UNKNOWN_DRAIN_AGE))


def test_reborn_database_that_drains_counts_as_heard_of():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.put(replace(database("a"), is_draining=True), ms(5))
    registry.mark_unlisted("a", ms(6))
    registry.put(replace(database("a"), is_draining=True), ms(7))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))


def test_copy_of_the_store_brings_back_no_older_entry():
    """A leaving database looks as it did before: it still gets no new work."""
    registry = Registry()
    registry.put(replace(database("a"), started_at_ms=7, sequence=4), ms(0))
    leaving = replace(database("a"), started_at_ms=7, sequence=5, is_draining=True)
    registry.put(leaving, ms(5))
    older = replace(database("a"), started_at_ms=7, sequence=3)
    registry.replace([older], ms(10), is_copy=True)
    assert_that(registry.get("a"), Equals(leaving))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))
    reborn = replace(older, started_at_ms=9, sequence=1)
    registry.replace([reborn], ms(20), is_copy=True)
    assert_that(registry.get("a"), Equals(reborn))
