"""Each checker catches a planted fault, and nothing where there is none."""

from collections import Counter
from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from goldcrestpond.soak.promise_checker import PromiseChecker


def ms(count):
    return timedelta(milliseconds=count)


@pytest.fixture
def checker():
    made = PromiseChecker()
    made.record_acknowledged("a", 1, ms(10))
    made.record_acknowledged("a", 2, ms(50))
    return made


def _findings(checker, word):
    assert_that(checker.findings, HasLength(1))
    assert_that(checker.findings[0], Contains(word))


def test_what_holds_is_no_finding(checker):
    required = checker.get_newest_acknowledged("a", ms(20))
    checker.check_read("a", 1, required, "stale current read")
    checker.record_refused("a", 3, "BUSY")
    checker.record_refused("a", 4, "INDOUBT")
    checker.check_executions(Counter({"a.1": 1, "a.2": 1}))
    checker.check_log("a", [1, 2, 4])
    checker.check_version("i1", 3, 4)
    assert_that(checker.findings, Equals([]))


def test_stale_read(checker):
    checker.check_read(
        "a", 1, checker.get_newest_acknowledged("a", ms(60)), "stale current read"
    )
    _findings(checker, "stale current read")


def test_own_write_that_is_not_read(checker):
    checker.check_read("a", 1, 2, "own write not read")
    _findings(checker, "own write not read")


def test_lost_write(checker):
    checker.check_log("a", [1])
    _findings(checker, "lost")


def test_untrue_refusal(checker):
    checker.record_refused("a", 3, "ABORTED")
    checker.check_log("a", [1, 2, 3])
    _findings(checker, "untrue")


def test_doubled_write(checker):
    checker.check_executions(Counter({"a.1": 2}))
    _findings(checker, "doubled")


def test_configuration_that_goes_back(checker):
    checker.check_version("i1", 4, 3)
    _findings(checker, "config")
