"""Tests of who a caller is, by the configuration in force and its age."""

from types import SimpleNamespace

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, Not

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.bounded_labels import OTHER_LABEL, BoundedLabels
from goldcrestpond.serving.identity_check import (
    ORGANISATION_LABEL_COUNT,
    IdentityCheck,
)
from goldcrestpond.serving.metrics import Metrics
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.serving.organisations import Organisations, digest_key
from goldcrestpond.serving.proven_age import ProvenAge
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.route_table import RouteTable

from ..line_world import ListLog
from .test_leadership import ms

ACME, BOLT = Organisation("acme"), Organisation("bolt")
KEY = digest_key("key-of-acme")
CLOSED = Route("d", "s", ReadPolicy.CURRENT, ms(0), ms(1000), ms(200), 1)
OPEN = Route("o", "s", ReadPolicy.CURRENT, ms(0), ms(1000), ms(200), 1, True)


def table(keys, version=7):
    by_name = {organisation.name: organisation for organisation in keys.values()}
    by_digest = {digest_key(key): each for key, each in keys.items()}
    return RouteTable(version, organisations=Organisations(by_name, by_digest))


@pytest.fixture
def world():
    state = SimpleNamespace(
        table=table({"key-of-acme": ACME}),
        age=ms(10),
        log=ListLog(),
        metrics=Metrics(),
    )
    proof = ProvenAge(ms(100), lambda: state.age)
    state.check = IdentityCheck(lambda: state.table, proof, state.log, state.metrics)
    return state


def refusal(world, route=CLOSED, key=KEY):
    with pytest.raises(CodedError) as caught:
        world.check.identify(route, key)
    return caught.value


def test_known_key_is_of_its_organisation(world):
    assert_that(world.check.identify(CLOSED, KEY), Is(ACME))


def test_configuration_without_organisations_asks_for_no_key(world):
    world.table, world.age = RouteTable(7), None
    assert_that(world.check.identify(CLOSED, digest_key("any")), Is(None))
    assert_that(world.log.lines, Equals([]))


def test_unknown_key_is_refused_also_if_there_are_no_organisations_left(world):
    code = ResultCode.AUTHENTICATION_FAILED
    assert_that(refusal(world, key=digest_key("other")).code, Is(code))
    world.table = table({})
    assert_that(refusal(world).code, Is(code))


# The newest version may contain the key: "unknown" would be a lie.
@pytest.mark.parametrize("age", [None, ms(100), ms(5000)])
def test_old_configuration_says_unproven_never_unknown(world, age):
    world.age = age
    for key in (KEY, digest_key("other")):
        assert_that(refusal(world, key=key).code, Is(ResultCode.IDENTITY_UNPROVEN))


def test_open_route_goes_on_without_proof(world):
    assert_that(world.check.identify(OPEN, KEY), Is(ACME))
    assert_that(world.check.identify(OPEN, digest_key("other")), Is(None))
    world.age = ms(5000)
    assert_that(world.check.identify(OPEN, KEY), Is(None))


def test_key_follows_the_configuration_in_force(world):
    world.table = table({"key-of-acme": BOLT}, 8)
    assert_that(world.check.identify(CLOSED, KEY), Is(BOLT))
    world.table = table({}, 9)
    refusal(world)
    world.table = table({"key-of-acme": ACME}, 10)
    assert_that(world.check.identify(CLOSED, KEY), Is(ACME))


def test_loss_and_return_of_the_proof_are_logged_once(world):
    world.age = ms(150)
    refusal(world)
    refusal(world)
    world.age = ms(20)
    world.check.identify(CLOSED, KEY)
    (_, unproven), (_, regained) = world.log.lines
    expected = ["identity unproven", "identity regained"]
    assert_that(world.log.events(), Equals(expected))
    assert_that((unproven["age_ms"], unproven["limit_ms"]), Equals((150, 100)))
    assert_that((unproven["version"], unproven["organisation"]), Equals((7, "acme")))
    assert_that(regained["refused_count"], Equals(2))


def test_decisions_are_counted_by_organisation_up_to_a_limit(world):
    count = ORGANISATION_LABEL_COUNT + 20
    keys = {f"k{n}": Organisation(f"o{n}") for n in range(count)}
    world.table = table(keys)
    for key in keys:
        world.check.identify(CLOSED, digest_key(key))
    text = world.metrics.render().decode()
    prefix = "goldcrestpond_identity_total"
    assert_that(text.count(prefix), Equals(ORGANISATION_LABEL_COUNT + 1))
    other = f'{prefix}{{organisation="other",outcome="admitted"}} 20'
    assert_that(text, Contains(other))


def test_labels_keep_their_values():
    labels = BoundedLabels(2)
    values = [labels.label(value) for value in ("a", "b", "c", "a")]
    assert_that(values, Equals(["a", "b", OTHER_LABEL, "a"]))


# A name could end the label and forge other metrics.
def test_names_are_escaped_in_metrics(world):
    world.metrics.count("x", organisation='a"} 9\\')
    text = world.metrics.render().decode()
    assert_that(text, Contains('{organisation="a\\"} 9\\\\"}'))


def test_no_text_contains_the_digest(world):
    error = refusal(world, key=digest_key("other"))
    world.check.log_refusal("c1", "d", "acme")
    text = f"{error} {world.log.lines}"
    assert_that(text, Not(Contains(digest_key("other").hex())))
