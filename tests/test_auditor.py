"""The auditor finds each kind of broken guarantee, and nothing else."""

import msgspec
import psycopg
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.load.audit import Audit
from goldcrestpond.load.auditor import Auditor
from goldcrestpond.load.reported_outcome import ReportedOutcome, classify_outcome

_WRITE = st.tuples(
    st.sampled_from(ReportedOutcome),
    st.integers(1, 2),  # rows that the transaction writes
    st.integers(0, 2),  # rows in the database
    st.booleans(),  # whether the first row is in the database twice
)


@given(st.lists(_WRITE, max_size=12), st.integers(0, 2))
def test_every_difference_is_counted_once(writes, unrequested_count):
    auditor = Auditor()
    rows = [("unknown", number, 0) for number in range(unrequested_count)]
    expected = Audit(unrequested=unrequested_count)
    for number, (reported_outcome, part_count, present, is_double) in enumerate(writes):
        present = min(present, part_count)
        auditor.record_outcome(
            auditor.record_attempt("s", number, part_count), reported_outcome
        )
        rows += [("s", number, part) for part in range(present)]
        rows += [("s", number, 0)] * (is_double and present > 0)
        expected.acknowledged += reported_outcome is ReportedOutcome.ACKNOWLEDGED
        expected.refused += reported_outcome is ReportedOutcome.NOT_RUN
        expected.unknown += reported_outcome is ReportedOutcome.UNKNOWN
        expected.lost += (
            reported_outcome is ReportedOutcome.ACKNOWLEDGED and present == 0
        )
        expected.not_run_but_ran += (
            reported_outcome is ReportedOutcome.NOT_RUN and present > 0
        )
        expected.doubled += is_double and present > 0
        expected.torn += 0 < present < part_count
    found = auditor.compare(rows)
    assert_that(msgspec.to_builtins(found), Equals(msgspec.to_builtins(expected)))


@given(st.integers(1, 3), st.integers(1, 6))
def test_acknowledgement_missing_from_surviving_log_is_found(term, position):
    log_terms = [1, 1, 2, 2]
    auditor = Auditor()
    entry = auditor.record_attempt("s", 1)
    auditor.record_outcome(
        entry, ReportedOutcome.ACKNOWLEDGED, LogPosition(term, position)
    )
    audit = auditor.compare([("s", 1, 0)], log_terms)
    survives = position <= 4 and log_terms[position - 1] == term
    assert_that(audit.acknowledged_by_replaced, Equals(int(not survives)))


def test_stale_and_crossed_reads_are_counted():
    auditor = Auditor()
    auditor.record_outcome(auditor.record_attempt("s", 5), ReportedOutcome.ACKNOWLEDGED)
    auditor.record_outcome(auditor.record_attempt("s", 6), ReportedOutcome.NOT_RUN)
    min_number = auditor.get_last_acknowledged("s")
    for session, shown in (("s", 5), ("s", 4), ("t", 9)):
        auditor.check_own_read("s", session, min_number, shown)
    assert_that((auditor.stale_reads, auditor.crossed_reads), Equals((1, 1)))


@given(st.sampled_from(ResultCode))
def test_only_outcome_codes_and_broken_connections_are_unknown(code):
    kind = psycopg.errors.lookup
    try:
        error_class = kind(code.sqlstate)
    except KeyError:
        error_class = psycopg.OperationalError
    error = error_class(f"GP{code.number} {code.meaning}")
    error.sqlstate = code.sqlstate
    is_unknown = code.number // 100 == 3 or code is ResultCode.INTERNAL
    expected = ReportedOutcome.UNKNOWN if is_unknown else ReportedOutcome.NOT_RUN
    assert_that(classify_outcome(error), Equals(expected))
    assert_that(
        classify_outcome(psycopg.OperationalError("gone")),
        Equals(ReportedOutcome.UNKNOWN),
    )
