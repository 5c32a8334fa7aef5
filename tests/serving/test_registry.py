"""Tests of registry entries that are listed, drained, unlisted and listed again."""

from dataclasses import replace

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.registry import UNKNOWN_DRAIN_AGE, UNLISTED_GRACE, Registry

from .test_leadership import database, ms


def test_unlisted_entry_is_kept_for_its_grace_and_may_be_listed_again():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.mark_unlisted("a", ms(10), ms(8))
    assert_that(registry.leaving_since("a"), Equals(ms(10)))
    assert_that(registry.remove_unlisted(ms(20)), Is(False))
    registry.put(database("a"), ms(30))
    assert_that(registry.leaving_since("a"), Is(None))
    assert_that(registry.remove_unlisted(UNLISTED_GRACE + ms(40)), Is(False))
    assert_that(registry.leaving_since("a"), Is(None))


def test_unlisted_entry_is_removed_after_its_grace():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.replace([], ms(10), ms(8))
    assert_that(registry.leaving_since("a"), Equals(ms(10)))
    assert_that(registry.remove_unlisted(UNLISTED_GRACE + ms(10)), Is(True))
    assert_that(registry.databases(), Equals([]))


def test_drain_counts_from_its_first_listing():
    registry = Registry()
    registry.put(database("a"), ms(0))
    leaving = replace(database("a"), is_draining=True)
    registry.put(leaving, ms(5))
    registry.put(leaving, ms(500))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))
    registry.put(database("a"), ms(600))
    assert_that(registry.leaving_since("a"), Is(None))
    assert_that(registry.leaving_since("b"), Is(None))


def test_database_first_listed_while_it_drains_counts_as_long_draining():
    """A process that has just started cannot know when the drain began."""
    registry = Registry()
    leaving = replace(database("a"), is_draining=True)
    registry.put(leaving, ms(5))
    assert_that(registry.leaving_since("a"), Equals(ms(5) - UNKNOWN_DRAIN_AGE))
    registry.put(leaving, ms(9))
    assert_that(registry.leaving_since("a"), Equals(ms(5) - UNKNOWN_DRAIN_AGE))


def test_drain_age_is_kept_when_an_unlisted_database_is_listed_again():
    registry = Registry()
    registry.put(database("a"), ms(0))
    registry.put(replace(database("a"), is_draining=True), ms(5))
    registry.mark_unlisted("a", ms(6), ms(5))
    registry.put(replace(database("a"), is_draining=True), ms(7))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))


def test_older_entry_of_a_restored_store_is_ignored():
    """The copy lists a draining database as not draining; it must get no new work."""
    registry = Registry()
    registry.put(replace(database("a"), started_at_ms=7, sequence=4), ms(0))
    leaving = replace(database("a"), started_at_ms=7, sequence=5, is_draining=True)
    registry.put(leaving, ms(5))
    older = replace(database("a"), started_at_ms=7, sequence=3)
    registry.replace([older], ms(10), ms(8), is_copy=True)
    assert_that(registry.get("a"), Equals(leaving))
    assert_that(registry.leaving_since("a"), Equals(ms(5)))
    restarted = replace(older, started_at_ms=9, sequence=1)
    registry.replace([restarted], ms(20), ms(18), is_copy=True)
    assert_that(registry.get("a"), Equals(restarted))
