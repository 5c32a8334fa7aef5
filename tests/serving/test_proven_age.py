"""Tests of the proof that a table is young enough."""

from datetime import timedelta

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from goldcrestpond.serving.proven_age import (
    PROOF_FRACTION,
    ProvenAge,
    compute_proof_limit,
)

from .test_leadership import ms


@pytest.mark.parametrize(
    ("limit", "age", "is_proven"),
    [
        (None, None, True),
        (None, ms(10**9), True),
        (ms(100), None, False),
        (ms(100), ms(99), True),
        (ms(100), ms(100), False),
    ],
)
def test_proof_needs_a_known_age_below_the_limit(limit, age, is_proven):
    assert_that(ProvenAge(limit, lambda: age).is_proven(), Is(is_proven))


def test_proof_limit_is_below_the_limit_and_missing_without_one():
    assert_that(compute_proof_limit(timedelta(0)), Is(None))
    assert_that(compute_proof_limit(ms(5000)), Equals(ms(5000) * PROOF_FRACTION))
