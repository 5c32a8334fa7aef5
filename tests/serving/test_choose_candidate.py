"""The candidate holds every commit that was acknowledged, or there is none."""

from datetime import timedelta

import hypothesis.strategies as st
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.serving.choose_candidate import (
    CandidateChoice,
    choose_candidate,
    choose_longest_log,
    choose_planned_candidate,
    has_caught_up,
    next_term,
)
from goldcrestpond.serving.database_report import DatabaseReport
from goldcrestpond.serving.highest_acknowledged import HighestAcknowledged

NOBODY = frozenset()
UNKNOWN = HighestAcknowledged(None, ("i3",))


def report(number, term=1, paused=2, role=Role.REPLICA):
    return DatabaseReport(role, term, LogPosition(term, number), paused, 0)


def test_longest_log_of_the_highest_term_leads():
    paused = {"a": report(9, term=1), "b": report(3, term=2), "c": report(2, term=2)}
    chosen = choose_candidate(paused, NOBODY, UNKNOWN, {})
    assert_that(chosen.database_id, Equals("b"))


def test_unread_replica_stops_the_succession():
    chosen = choose_candidate({"a": report(9)}, frozenset("b"), UNKNOWN, {})
    assert_that(chosen.database_id, Equals(""))
    assert_that(chosen.reason, Contains("b"))
    assert_that(chosen.reason, Contains("i3"))


def test_log_that_reaches_what_was_acknowledged_leads_with_one_unread():
    """Leader and one replica crash together."""
    for number, expected in ((8, "a"), (9, "a"), (10, "")):
        bound = HighestAcknowledged(LogPosition(1, number))
        chosen = choose_candidate({"a": report(9)}, frozenset("b"), bound, {})
        assert_that(chosen.database_id, Equals(expected))


def test_longest_log_that_is_left_leads_once_patience_is_over():
    paused = {"a": report(8), "b": report(9)}
    chosen = choose_longest_log(paused, {})
    assert_that(chosen.database_id, Equals("b"))
    assert_that(choose_longest_log({}, {}).database_id, Equals(""))


def test_one_that_stays_is_preferred_among_equals():
    paused = {"a": report(9), "b": report(9)}
    chosen = choose_candidate(paused, NOBODY, UNKNOWN, {"a": timedelta(0)})
    assert_that(chosen.database_id, Equals("b"))


def test_log_of_a_leaving_replica_is_not_given_up():
    paused = {"a": report(9), "b": report(8)}
    chosen = choose_candidate(paused, NOBODY, UNKNOWN, {"a": timedelta(0)})
    assert_that(chosen.database_id, Equals("a"))


def test_of_two_that_leave_the_one_with_more_time_leads():
    """Two databases are being replaced; the first one may end any moment."""
    paused = {"a": report(9), "b": report(9), "c": report(8)}
    since = {"a": timedelta(seconds=1), "b": timedelta(seconds=2)}
    chosen = choose_candidate(paused, NOBODY, UNKNOWN, since)
    assert_that(chosen.database_id, Equals("b"))


def test_planned_candidate_is_one_that_stays():
    reports = {
        "p": report(9, role=Role.PRIMARY),
        "a": report(9),
        "b": report(7),
    }
    replicas = frozenset("ab")
    leaving = {"a": timedelta(0)}
    chosen = choose_planned_candidate(reports, replicas, leaving)
    assert_that(chosen.database_id, Equals("b"))
    nobody = choose_planned_candidate(reports, frozenset("a"), leaving)
    assert_that(nobody.database_id, Equals(""))


def test_planned_candidate_waits_for_what_others_have():
    others = [report(9).received, report(8).received]
    assert_that(has_caught_up(report(7), others), Equals(False))
    assert_that(has_caught_up(report(9), others), Equals(True))


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
    return received, readable, draw(st.booleans())


def _promises_kept(choose, history):
    received, readable, told = history
    # With one synchronous replica, a commit that some replica has received may
    # have been acknowledged.
    acknowledged = max(received.values())
    bound = HighestAcknowledged(LogPosition(1, acknowledged) if told else None)
    paused = {name: report(received[name]) for name in readable}
    unread = frozenset("ab") - paused.keys()
    chosen = choose(paused, unread, bound, {}).database_id
    return not chosen or received[chosen] >= acknowledged


@given(histories())
def test_no_acknowledged_commit_is_lost(history):
    assert_that(_promises_kept(choose_candidate, history), Equals(True))


def _ignores_unread(paused, unread, bound, leaving_since):
    return choose_candidate(paused, NOBODY, bound, leaving_since)


def _takes_any(paused, unread, bound, leaving_since):
    if unread:
        return CandidateChoice("", "")
    return CandidateChoice(min(paused), "")


def _trusts_silence(paused, unread, bound, leaving_since):
    """Take an instance that says nothing for one that knows of nothing."""
    told = bound.position or LogPosition(1, 0)
    return choose_candidate(paused, unread, HighestAcknowledged(told), leaving_since)


def test_broken_variants_lose_commits():
    """One replica unread; not the longest log; silence taken for an answer."""
    unread = ({"a": 1, "b": 2}, {"a"}, False)
    assert_that(_promises_kept(_ignores_unread, unread), Equals(False))
    assert_that(_promises_kept(_trusts_silence, unread), Equals(False))
    shorter = ({"a": 1, "b": 2}, {"a", "b"}, False)
    assert_that(_promises_kept(_takes_any, shorter), Equals(False))
