"""Tests of rows that expire unless they change."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.serving.expiring_rows import ExpiringRows
from goldcrestpond.serving.row_store import StoredRow

from .test_leadership import ms


def _expiring_rows(lifetime):
    return ExpiringRows(lifetime, ms(0), lambda row: 0)


def _row(key, version, value=b"{}"):
    return StoredRow("t", "", key, value, version)


def test_age_counts_from_the_last_change_and_not_from_the_last_read():
    for lifetime, rows in (
        (ms(50), [_row("b", 2)]),
        (ms(101), [_row("a", 1), _row("b", 2)]),
    ):
        expiring = _expiring_rows(lifetime)
        expiring.replace([_row("a", 1), _row("b", 1)], ms(0), 0)
        expiring.replace([_row("a", 1), _row("b", 2)], ms(80), 0)
        assert_that(expiring.unexpired(ms(100)), Equals(rows))


def test_removed_rows_are_dropped():
    expiring = _expiring_rows(ms(100))
    expiring.replace([_row("a", 1), _row("b", 1), _row("c", 1)], ms(0), 0)
    expiring.update([_row("a", 2, None)], ms(1), 0)
    expiring.replace([_row("c", 1)], ms(2), 0)
    assert_that(expiring.unexpired(ms(3)), Equals([_row("c", 1)]))
