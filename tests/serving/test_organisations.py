"""Tests of keys and organisations."""

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, Is, Not

from goldcrestpond.serving.organisation import Organisation, compute_weight
from goldcrestpond.serving.organisations import (
    DIGEST_BYTES,
    Organisations,
    digest_key,
)


def test_key_is_found_by_its_digest_alone():
    acme = Organisation("acme")
    organisations = Organisations({"acme": acme}, {digest_key("k1"): acme})
    assert_that(organisations.find(digest_key("k1")), Is(acme))
    assert_that(organisations.find(digest_key("k2")), Is(None))
    assert_that(organisations.find(b"k1"), Is(None))


def test_digest_is_the_same_on_all_instances_and_hides_the_key():
    assert_that(digest_key("key"), HasLength(DIGEST_BYTES))
    expected = "3a3f360e"
    assert_that(digest_key("key").hex()[:8], Equals(expected))
    assert_that(repr(Organisations({}, {b"0123": None})), Not(Contains("0123")))


def test_lower_number_of_priority_weighs_more():
    weights = [compute_weight(priority) for priority in range(4)]
    assert_that(weights, Equals(sorted(weights, reverse=True)))
    assert_that(weights[0], Equals(1.0))
    assert_that(compute_weight(10**6), GreaterThan(0.0))
    assert_that(compute_weight(-3), Equals(1.0))
