"""Tests that a candidate has every acknowledged commit, or that there is none."""

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

NONE_UNREAD = frozenset()
UNKNOWN = HighestAcknowledged(None, ("i3",))


def report(number, term=1, paused=2, role=Role.REPLICA):
    return DatabaseReport(role, term, LogPosition(term, number), paused, 0)


def test_longest_log_of_the_newest_term_is_chosen():
    paused = {"a": report(9, term=1), "b": report(3, term=2), "c": report(2, term=2)}
    chosen = choose_candidate(paused, NONE_UNREAD, UNKNOWN, {})
    assert_that(chosen.database_id, Equals("b"))


def test_no_candidate_with_an_unread_replica_and_an_instance_without_answer():
    chosen = choose_candidate({"a": report(9)}, frozenset("b"), UNKNOWN, {})
    assert_that(chosen.database_id, Equals(""))
    assert_that(chosen.reason, Contains("b"))
    assert_that(chosen.reason, Contains("i3"))


def test_log_that_reaches_the_highest_acknowledged_position_is_chosen():
    """The leader and one replica crash together, so one replica is unread."""
    for number, expected in ((8, "a"), (9, "a"), (10, "")):
        highest = HighestAcknowledged(LogPosition(1, number))
        chosen = choose_candidate({"a": report(9)}, frozenset("b"), highest, {})
        assert_that(chosen.database_id, Equals(expected))


def test_choose_longest_log_ignores_other_databases():
    paused = {"a": report(8), "b": report(9)}
    chosen = choose_longest_log(paused, UNKNOWN, {})
    assert_that(chosen.database_id, Equals("b"))
    assert_that(choose_longest_log({}, UNKNOWN, {}).database_id, Equals(""))


# Failure: a log is promoted, however long the wait was, although an instance has told
# its callers of commits beyond it.
def test_longest_log_is_not_chosen_if_it_is_known_to_lack_a_commit():
    for number, expected in ((9, "b"), (10, "")):
        known = HighestAcknowledged(None, ("i3",), (), LogPosition(1, number))
        chosen = choose_longest_log({"a": report(8), "b": report(9)}, known, {})
        assert_that(chosen.database_id, Equals(expected))


def test_staying_replica_is_preferred_among_equal_logs():
    paused = {"a": report(9), "b": report(9)}
    chosen = choose_candidate(paused, NONE_UNREAD, UNKNOWN, {"a": timedelta(0)})
    assert_that(chosen.database_id, Equals("b"))


def test_leaving_replica_with_the_longest_log_is_chosen():
    paused = {"a": report(9), "b": report(8)}
    chosen = choose_candidate(paused, NONE_UNREAD, UNKNOWN, {"a": timedelta(0)})
    assert_that(chosen.database_id, Equals("a"))


def test_replica_that_began_to_leave_last_is_chosen_among_leaving_ones():
    """Two databases are being replaced; the first may end at any moment."""
    paused = {"a": report(9), "b": report(9), "c": report(8)}
    since = {"a": timedelta(seconds=1), "b": timedelta(seconds=2)}
    chosen = choose_candidate(paused, NONE_UNREAD, UNKNOWN, since)
    assert_that(chosen.database_id, Equals("b"))


def test_planned_candidate_is_not_leaving():
    reports = {
        "p": report(9, role=Role.PRIMARY),
        "a": report(9),
        "b": report(7),
    }
    replicas = frozenset("ab")
    leaving = {"a": timedelta(0)}
    chosen = choose_planned_candidate(reports, replicas, leaving)
    assert_that(chosen.database_id, Equals("b"))
    none = choose_planned_candidate(reports, frozenset("a"), leaving)
    assert_that(none.database_id, Equals(""))


def test_candidate_has_caught_up_once_it_has_all_positions():
    others = [report(9).received, report(8).received]
    assert_that(has_caught_up(report(7), others), Equals(False))
    assert_that(has_caught_up(report(9), others), Equals(True))


def test_next_term_is_above_all_known_terms():
    reports = {"a": report(1, term=3), "b": report(1, term=5)}
    assert_that(next_term(reports, 2), Equals(6))
    assert_that(next_term(reports, 8), Equals(9))


@st.composite
def histories(draw):
    """Draw how much of the primary's log each replica has received before the pause.

    Also draws which replicas can be read, and whether all instances reported their
    highest acknowledged position.
    """
    count = draw(st.integers(0, 6))
    received = {name: draw(st.integers(0, count)) for name in "ab"}
    readable = draw(st.sets(st.sampled_from("ab")))
    return received, readable, draw(st.booleans())


def _keeps_acknowledged_commits(choose, history):
    received, readable, is_reported = history
    # With one synchronous replica, a commit that any replica has received may
    # have been acknowledged.
    acknowledged = max(received.values())
    highest = HighestAcknowledged(LogPosition(1, acknowledged) if is_reported else None)
    paused = {name: report(received[name]) for name in readable}
    unread = frozenset("ab") - paused.keys()
    chosen = choose(paused, unread, highest, {}).database_id
    return not chosen or received[chosen] >= acknowledged


@given(histories())
def test_no_acknowledged_commit_is_lost(history):
    assert_that(_keeps_acknowledged_commits(choose_candidate, history), Equals(True))


def _ignores_unread(paused, unread, acknowledged, leaving_since):
    return choose_candidate(paused, NONE_UNREAD, acknowledged, leaving_since)


def _chooses_any_log(paused, unread, acknowledged, leaving_since):
    if unread:
        return CandidateChoice("", "")
    return CandidateChoice(min(paused), "")


def _ignores_missing_answers(paused, unread, acknowledged, leaving_since):
    """Treat a missing answer as one that reports no acknowledged commit."""
    position = acknowledged.position or LogPosition(1, 0)
    return choose_candidate(
        paused, unread, HighestAcknowledged(position), leaving_since
    )


def test_faulty_choices_lose_commits():
    """Unread replica ignored; not the longest log; missing answer ignored."""
    unread = ({"a": 1, "b": 2}, {"a"}, False)
    assert_that(_keeps_acknowledged_commits(_ignores_unread, unread), Equals(False))
    assert_that(
        _keeps_acknowledged_commits(_ignores_missing_answers, unread), Equals(False)
    )
    shorter = ({"a": 1, "b": 2}, {"a", "b"}, False)
    assert_that(_keeps_acknowledged_commits(_chooses_any_log, shorter), Equals(False))
