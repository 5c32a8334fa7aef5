"""Rows by when their last change was heard."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.serving.heard_rows import HeardRows
from goldcrestpond.serving.row_store import StoredRow

from .test_leadership import ms


def _row(key, version, value=b"{}"):
    return StoredRow("t", "", key, value, version)


def test_age_counts_from_the_last_change_and_not_from_the_last_reading():
    heard = HeardRows()
    heard.replace([_row("a", 1), _row("b", 1)], ms(0))
    heard.replace([_row("a", 1), _row("b", 2)], ms(80))
    assert_that(heard.fresh(ms(100), ms(50)), Equals([_row("b", 2)]))
    assert_that(heard.fresh(ms(100), ms(101)), Equals([_row("a", 1), _row("b", 2)]))


def test_removed_rows_are_forgotten():
    heard = HeardRows()
    heard.replace([_row("a", 1), _row("b", 1), _row("c", 1)], ms(0))
    heard.update([_row("a", 2, None)], ms(1))
    heard.replace([_row("c", 1)], ms(2))
    assert_that(heard.fresh(ms(3), ms(100)), Equals([_row("c", 1)]))
