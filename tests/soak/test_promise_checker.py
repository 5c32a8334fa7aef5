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
    made.acknowledged("a", 1, ms(10))
    made.acknowledged("a", 2, ms(50))
    return made


def _findings(checker, word):
    assert_that(checker.findings, HasLength(1))
    assert_that(checker.findings[0], Contains(word))


def test_what_holds_is_no_finding(checker):
    needed = checker.newest_before("a", ms(20))
    checker.read("a", 1, needed, "stale current read")
    checker.refused("a", 3, "BUSY")
    checker.refused("a", 4, "INDOUBT")
    checker.executed(Counter({"a.1": 1, "a.2": 1}))
    checker.kept("a", [1, 2, 4])
    checker.version("i1", 3, 4)
    assert_that(checker.findings, Equals([]))


def test_stale_read(checker):
    checker.read("a", 1, checker.newest_before("a", ms(60)), "stale current read")
    _findings(checker, "stale current read")


def test_own_write_that_is_not_read(checker):
    checker.read("a", 1, 2, "own write not read")
    _findings(checker, "own write not read")


def test_lost_write(checker):
    checker.kept("a", [1])
    _findings(checker, "lost")


def test_untrue_refusal(checker):
    checker.refused("a", 3, "ABORTED")
    checker.kept("a", [1, 2, 3])
    _findings(checker, "untrue")


def test_doubled_write(checker):
    checker.executed(Counter({"a.1": 2}))
    _findings(checker, "doubled")


def test_configuration_that_goes_back(checker):
    checker.version("i1", 4, 3)
    _findings(checker, "config")
