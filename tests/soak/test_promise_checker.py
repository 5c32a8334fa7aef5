"""Each check reports a planted fault, and nothing if there is none."""

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
    checker = PromiseChecker()
    checker.record_acknowledged("a", 1, ms(10))
    checker.record_acknowledged("a", 2, ms(50))
    return checker


def _assert_one_finding(checker, word):
    assert_that(checker.findings, HasLength(1))
    assert_that(checker.findings[0], Contains(word))


def test_correct_answers_give_no_finding(checker):
    required = checker.get_newest_acknowledged("a", ms(20))
    checker.check_read("a", 1, required, "stale current read")
    checker.record_refused("a", 3, "BUSY")
    checker.record_refused("a", 4, "INDOUBT")
    checker.check_executions(Counter({"a.1": 1, "a.2": 1}))
    checker.check_log("a", [1, 2, 4])
    checker.check_version("i1", 3, 4)
    assert_that(checker.findings, Equals([]))


def test_stale_read_is_found(checker):
    checker.check_read(
        "a", 1, checker.get_newest_acknowledged("a", ms(60)), "stale current read"
    )
    _assert_one_finding(checker, "stale current read")


def test_read_without_own_write_is_found(checker):
    checker.check_read("a", 1, 2, "own write not read")
    _assert_one_finding(checker, "own write not read")


def test_lost_write_is_found(checker):
    checker.check_log("a", [1])
    _assert_one_finding(checker, "lost")


def test_refused_write_in_the_log_is_found(checker):
    checker.record_refused("a", 3, "ABORTED")
    checker.check_log("a", [1, 2, 3])
    _assert_one_finding(checker, "untrue")


def test_write_that_ran_twice_is_found(checker):
    checker.check_executions(Counter({"a.1": 2}))
    _assert_one_finding(checker, "doubled")


def test_configuration_version_that_goes_back_is_found(checker):
    checker.check_version("i1", 4, 3)
    _assert_one_finding(checker, "config")


# Guards against: a read that is called stale for want of a commit which a promotion, a
# finding of its own, has rolled back; and one that lacks an older write as well.
def test_read_need_not_show_a_write_that_a_promotion_rolled_back(checker):
    required = checker.get_newest_acknowledged("a", ms(60))
    checker.record_rolled_back("a", 2)
    assert_that(checker.get_newest_acknowledged("a", ms(60)), Equals(1))
    checker.check_read("a", 1, required, "stale current read")
    assert_that(checker.findings, Equals([]))
    checker.check_read("a", 0, required, "stale current read")
    _assert_one_finding(checker, "must show 1")
