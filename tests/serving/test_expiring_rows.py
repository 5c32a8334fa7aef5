"""Rows by when their last change was heard."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.serving.expiring_rows import ExpiringRows
from goldcrestpond.serving.row_store import StoredRow

from .test_leadership import ms


def _heard(lifetime):
    return ExpiringRows(lifetime, ms(0), lambda row: 0)


def _row(key, version, value=b"{}"):
    return StoredRow("t", "", key, value, version)


def test_age_counts_from_the_last_change_and_not_from_the_last_reading():
    for lifetime, rows in (
        (ms(50), [_row("b", 2)]),
        (ms(101), [_row("a", 1), _row("b", 2)]),
    ):
        heard = _heard(lifetime)
        heard.replace([_row("a", 1), _row("b", 1)], ms(0), 0)
        heard.replace([_row("a", 1), _row("b", 2)], ms(80), 0)
        assert_that(heard.unexpired(ms(100)), Equals(rows))


def test_removed_rows_are_forgotten():
    heard = _heard(ms(100))
    heard.replace([_row("a", 1), _row("b", 1), _row("c", 1)], ms(0), 0)
    heard.update([_row("a", 2, None)], ms(1), 0)
    heard.replace([_row("c", 1)], ms(2), 0)
    assert_that(heard.unexpired(ms(3)), Equals([_row("c", 1)]))
