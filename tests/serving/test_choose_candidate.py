"""The candidate holds every commit that was acknowledged, or there is none."""

import hypothesis.strategies as st
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.serving.choose_candidate import (
    CandidateChoice,
    choose_candidate,
    choose_planned_candidate,
    has_caught_up,
    next_term,
)
from goldcrestpond.serving.database_report import DatabaseReport

NOBODY = frozenset()


def report(number, term=1, paused=2, role=Role.REPLICA):
    return DatabaseReport(role, term, LogPosition(term, number), paused, 0)


def test_longest_log_of_the_highest_term_leads():
    paused = {"a": report(9, term=1), "b": report(3, term=2), "c": report(2, term=2)}
    chosen = choose_candidate(paused, frozenset(paused), NOBODY)
    assert_that(chosen.database_id, Equals("b"))


def test_unread_replica_stops_the_succession():
    chosen = choose_candidate({"a": report(9)}, frozenset("ab"), NOBODY)
    assert_that(chosen.database_id, Equals(""))
    assert_that(chosen.reason, Contains("b"))


def test_one_that_stays_is_preferred_among_equals():
    paused = {"a": report(9), "b": report(9)}
    chosen = choose_candidate(paused, frozenset("ab"), frozenset("a"))
    assert_that(chosen.database_id, Equals("b"))


def test_log_of_a_leaving_replica_is_not_given_up():
    paused = {"a": report(9), "b": report(8)}
    chosen = choose_candidate(paused, frozenset("ab"), frozenset("a"))
    assert_that(chosen.database_id, Equals("a"))


def test_planned_candidate_is_one_that_stays():
    reports = {
        "p": report(9, role=Role.PRIMARY),
        "a": report(9),
        "b": report(7),
    }
    replicas = frozenset("ab")
    chosen = choose_planned_candidate(reports, replicas, frozenset("a"))
    assert_that(chosen.database_id, Equals("b"))
    nobody = choose_planned_candidate(reports, frozenset("a"), frozenset("a"))
    assert_that(nobody.database_id, Equals(""))


def test_planned_candidate_waits_for_what_others_have():
    assert_that(has_caught_up(report(7), {"a": report(9)}), Equals(False))
    assert_that(has_caught_up(report(9), {"a": report(9)}), Equals(True))


def test_next_term_is_above_all():
    reports = {"a": report(1, term=3), "b": report(1, term=5)}
    assert_that(next_term(reports, 2), Equals(6))
    assert_that(next_term(reports, 8), Equals(9))


@st.composite
def histories(draw):
    """Commits of a primary: which replicas have received each before the pause."""
    count = draw(st.integers(0, 6))
    received = {name: draw(st.integers(0, count)) for name in "ab"}
    readable = draw(st.sets(st.sampled_from("ab")))
    return received, readable


def _promises_kept(choose, history):
    received, readable = history
    # With one synchronous replica, a commit that some replica has received may
    # have been acknowledged.
    acknowledged = max(received.values())
    paused = {name: report(received[name]) for name in readable}
    chosen = choose(paused, frozenset("ab"), NOBODY).database_id
    return not chosen or received[chosen] >= acknowledged


@given(histories())
def test_no_acknowledged_commit_is_lost(history):
    assert_that(_promises_kept(choose_candidate, history), Equals(True))


def _ignores_unread(paused, replicas, leaving):
    return choose_candidate(paused, frozenset(paused), leaving)


def _takes_any(paused, replicas, leaving):
    if replicas - paused.keys():
        return CandidateChoice("", "")
    return CandidateChoice(min(paused), "")


def test_broken_variants_lose_commits():
    """One replica unread; not the longest log."""
    unread = ({"a": 1, "b": 2}, {"a"})
    assert_that(_promises_kept(_ignores_unread, unread), Equals(False))
    shorter = ({"a": 1, "b": 2}, {"a", "b"})
    assert_that(_promises_kept(_takes_any, shorter), Equals(False))
