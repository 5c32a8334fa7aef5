"""Result codes: unique numbers and the page of documentation that lists them."""

from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.errors.table import render_table

_PAGE = Path(__file__).parent.parent / "docs" / "ERRORS.md"


def test_numbers_are_unique():
    numbers = [code.number for code in ResultCode]
    assert_that(len(set(numbers)), Equals(len(numbers)))


def test_page_lists_all_codes():
    assert_that(_PAGE.read_text(encoding="utf-8"), Equals(render_table()))
