"""Repetitions: only harmless ones, within budget and deadline."""

import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.retry import request_attempts
from goldcrestpond.retry.attempt_outcome import AttemptOutcome
from goldcrestpond.retry.request_attempts import RequestAttempts
from goldcrestpond.retry.retry_budget import (
    BUDGET_LIMIT,
    BUDGET_RATIO,
    BUDGET_REFILL_PER_S,
    RetryBudget,
)

DEADLINE = timedelta(seconds=2)

failures = st.lists(
    st.tuples(st.sampled_from(AttemptOutcome), st.integers(0, 400)), max_size=30
)


def run_request(steps, is_read_only, is_idempotent, budget, start=timedelta(0)):
    """Fail a request by each step until it is given up; return the runs.

    The endpoint may have run every attempt that was not provably not run.
    """
    deadline = start + DEADLINE
    attempts = RequestAttempts(
        deadline, is_read_only, is_idempotent, budget, random.Random(1)
    )
    now = start
    possible_runs = 0
    repeats = 0
    for attempt_outcome, elapsed_ms in steps:
        now += timedelta(milliseconds=elapsed_ms)
        possible_runs += attempt_outcome is not AttemptOutcome.NOT_RUN
        pause = attempts.record_failure(attempt_outcome, now)
        if pause is None:
            break
        now += pause
        repeats += 1
        assert_that(now, LessThan(deadline))
    return possible_runs, repeats


def check_at_most_once(steps):
    possible_runs, repeats = run_request(steps, False, False, RetryBudget(timedelta(0)))
    # A further attempt after a possible run could run it twice.
    assert_that(possible_runs <= 1, Equals(True))
    stopped = [n for n, (e, _) in enumerate(steps) if e is not AttemptOutcome.NOT_RUN]
    if stopped:
        assert_that(repeats <= stopped[0], Equals(True))


@given(failures)
def test_a_request_that_may_not_be_repeated_runs_at_most_once(steps):
    check_at_most_once(steps)


@given(failures, st.booleans(), st.booleans())
def test_an_answer_that_has_begun_is_never_repeated(steps, read_only, repeatable):
    answered = [n for n, (e, _) in enumerate(steps) if e is AttemptOutcome.ANSWERED]
    _, repeats = run_request(steps, read_only, repeatable, RetryBudget(timedelta(0)))
    if answered:
        assert_that(repeats <= answered[0], Equals(True))


@given(st.integers(1, 200), st.integers(0, 50))
def test_repetitions_stay_within_the_budget(requests, step_ms):
    budget = RetryBudget(timedelta(0))
    always = [(AttemptOutcome.NOT_RUN, 0)] * 30
    total = 0
    for number in range(requests):
        start = timedelta(milliseconds=number * step_ms)
        total += run_request(always, True, True, budget, start)[1]
    seconds = requests * step_ms / 1000 + DEADLINE.total_seconds()
    bound = BUDGET_LIMIT + requests * BUDGET_RATIO + seconds * BUDGET_REFILL_PER_S
    assert_that(total <= bound, Equals(True))


def repeat_interrupted(attempt_outcome, is_read_only, is_idempotent):
    return attempt_outcome is not AttemptOutcome.ANSWERED


def repeat_all(attempt_outcome, is_read_only, is_idempotent):
    return True


@pytest.mark.parametrize("variant", [repeat_interrupted, repeat_all])
def test_broken_rule_of_repetition_is_caught(monkeypatch, variant):
    monkeypatch.setattr(request_attempts, "may_repeat", variant)
    with pytest.raises(AssertionError):
        given(failures)(check_at_most_once)()
