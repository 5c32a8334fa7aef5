"""Retries happen only where they are safe, within the budget and the deadline."""

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
    MAX_RETRY_TOKENS,
    RETRIES_PER_REQUEST,
    RETRY_TOKENS_PER_S,
    RetryBudget,
)

DEADLINE = timedelta(seconds=2)

FAILURES = st.lists(
    st.tuples(st.sampled_from(AttemptOutcome), st.integers(0, 400)), max_size=30
)


def run_request(failures, is_read_only, is_idempotent, budget, start=timedelta(0)):
    """Fail each attempt at a request until it is not retried any more.

    Returns the number of attempts that the endpoint may have run, which are all but
    those with the outcome ``NOT_RUN``, and the number of retries.
    """
    deadline = start + DEADLINE
    attempts = RequestAttempts(
        deadline, is_read_only, is_idempotent, budget, random.Random(1)
    )
    now = start
    possible_run_count = 0
    retry_count = 0
    for attempt_outcome, elapsed_ms in failures:
        now += timedelta(milliseconds=elapsed_ms)
        possible_run_count += attempt_outcome is not AttemptOutcome.NOT_RUN
        pause = attempts.record_failure(attempt_outcome, now)
        if pause is None:
            break
        now += pause
        retry_count += 1
        assert_that(now, LessThan(deadline))
    return possible_run_count, retry_count


def check_at_most_once(failures):
    possible_run_count, retry_count = run_request(
        failures, False, False, RetryBudget(timedelta(0))
    )
    # A further attempt after a possible run could run the request twice.
    assert_that(possible_run_count <= 1, Equals(True))
    final = [n for n, (e, _) in enumerate(failures) if e is not AttemptOutcome.NOT_RUN]
    if final:
        assert_that(retry_count <= final[0], Equals(True))


@given(FAILURES)
def test_write_that_is_not_idempotent_runs_at_most_once(failures):
    check_at_most_once(failures)


@given(FAILURES, st.booleans(), st.booleans())
def test_request_is_not_retried_after_a_partial_answer(
    failures, is_read_only, is_idempotent
):
    answered = [n for n, (e, _) in enumerate(failures) if e is AttemptOutcome.ANSWERED]
    _, retry_count = run_request(
        failures, is_read_only, is_idempotent, RetryBudget(timedelta(0))
    )
    if answered:
        assert_that(retry_count <= answered[0], Equals(True))


@given(st.integers(1, 200), st.integers(0, 50))
def test_retries_stay_within_the_budget(request_count, step_ms):
    budget = RetryBudget(timedelta(0))
    endless_failures = [(AttemptOutcome.NOT_RUN, 0)] * 30
    retry_count = 0
    for number in range(request_count):
        start = timedelta(milliseconds=number * step_ms)
        retry_count += run_request(endless_failures, True, True, budget, start)[1]
    elapsed_s = request_count * step_ms / 1000 + DEADLINE.total_seconds()
    limit = (
        MAX_RETRY_TOKENS
        + request_count * RETRIES_PER_REQUEST
        + elapsed_s * RETRY_TOKENS_PER_S
    )
    assert_that(retry_count <= limit, Equals(True))


def retry_interrupted(attempt_outcome, is_read_only, is_idempotent):
    return attempt_outcome is not AttemptOutcome.ANSWERED


def retry_all(attempt_outcome, is_read_only, is_idempotent):
    return True


@pytest.mark.parametrize("variant", [retry_interrupted, retry_all])
def test_faulty_retry_rule_is_detected(monkeypatch, variant):
    monkeypatch.setattr(request_attempts, "may_repeat", variant)
    with pytest.raises(AssertionError):
        given(FAILURES)(check_at_most_once)()
