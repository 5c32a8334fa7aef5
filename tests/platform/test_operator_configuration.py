"""Decoding of the operator's configuration, which has tables of columns and rows."""

from datetime import timedelta

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Is, LessThan, Not

from goldcrestpond.platform.operator_configuration import (
    decode_configuration,
    is_older,
    replace_keys,
)
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.serving.organisations import digest_key
from goldcrestpond.serving.route import ReadPolicy
from goldcrestpond.standin.line_bodies import (
    make_configuration_body,
    make_organisation_body,
    make_table_body,
)


def _decode(body):
    return decode_configuration(msgspec.json.encode(body))


def test_rows_become_routes_and_null_takes_the_default():
    body = make_configuration_body(7, "s", 48, {"aged": 1500}, 800)
    routes = body["routes"]
    index = routes["columns"].index("maxStalenessMs")
    routes["rows"] = [[*row] for row in routes["rows"]]
    for row in routes["rows"]:
        row[index] = row[index] or None
    table = _decode(body)
    assert_that(table.version, Equals(7))
    assert_that(table.services["s"].connection_limit, Equals(48))
    assert_that(table.routes["aged"].policy, Equals(ReadPolicy.BOUNDED))
    assert_that(table.routes["aged"].max_age, Equals(timedelta(milliseconds=1500)))
    assert_that(table.routes["current"].max_age, Equals(timedelta(0)))


@pytest.mark.parametrize(
    "routes",
    [
        {"columns": ["database"], "rows": [["d", "too many"]]},
        {"columns": ["database"], "rows": [["d"]]},
        {"columns": [], "rows": [[]]},
        [],
    ],
)
def test_rows_that_do_not_match_the_columns_are_refused(routes):
    body = make_configuration_body(7, "s", 48, {}, 800) | {"routes": routes}
    with pytest.raises(msgspec.MsgspecError):
        _decode(body)


def test_table_of_many_routes_has_less_than_half_the_bytes_of_objects():
    """A large configuration would saturate the network link of a small machine."""
    body = make_configuration_body(7, "s", 48, {}, 800)
    columns, (row, *_) = body["routes"]["columns"], body["routes"]["rows"]
    records = [dict(zip(columns, row, strict=True)) for _ in range(1000)]
    as_table = len(msgspec.json.encode(make_table_body(records)))
    assert_that(as_table, LessThan(len(msgspec.json.encode(records)) // 2))


def _body(organisations, **more):
    return make_configuration_body(
        7, "s", 48, {}, 800, organisations=organisations, **more
    )


def test_configuration_without_organisations_has_none():
    assert_that(_decode(_body(None)).organisations, Is(None))
    assert_that(_decode(_body([])).organisations.by_name, Equals({}))


def test_route_is_open_only_if_it_says_so():
    routes = _decode(_body([], open_names=("own",))).routes
    is_open = {name: route.is_open for name, route in routes.items()}
    assert_that(is_open, Equals({"current": False, "aged": False, "own": True}))


def test_organisations_have_their_keys_and_limits():
    acme = make_organisation_body("acme", ["k1", "k2"], ratePerS=5, burst=9, priority=0)
    bolt = make_organisation_body("bolt", ["k3"])
    found = _decode(_body([acme, bolt])).organisations
    assert_that(found.find(digest_key("k2")), Equals(Organisation("acme", 0, 5.0, 9.0)))
    assert_that(found.find(digest_key("k3")), Equals(Organisation("bolt")))
    assert_that(found.find(digest_key("k4")), Is(None))


# Columns may be missing altogether; a rate without a burst would be no limit at all.
def test_missing_columns_take_their_defaults():
    found = _decode(_body([{"name": "acme", "ratePerS": 5}])).organisations
    assert_that(found.by_name["acme"], Equals(Organisation("acme", 1, 5.0, 0.0)))
    found = _decode(_body([{"name": "acme", "burst": 3}])).organisations
    limits = (found.by_name["acme"].rate_per_s, found.by_name["acme"].burst)
    assert_that(limits, Equals((float("inf"), 3.0)))


def _acme(**more):
    return make_organisation_body("acme", ["secret-1"], **more)


@pytest.mark.parametrize(
    ("organisations", "reason"),
    [
        ([_acme(), make_organisation_body("bolt", ["secret-1"])], "same key"),
        ([_acme(), make_organisation_body("acme", ["secret-2"])], "listed twice"),
        ([make_organisation_body("", ["secret-1"])], "empty name"),
        ([make_organisation_body("a b", ["secret-1"])], "does not fit a line"),
        ([make_organisation_body("a\r\nQUIT", ["secret-1"])], "does not fit a line"),
        ([_acme(ratePerS=-1)], "negative rate"),
        # The meter counts in integers made of floats, which overflowed.
        ([_acme(ratePerS=1e300, burst=1)], "rate or burst above 1000000000"),
        ([_acme(ratePerS=1, burst=1e300)], "rate or burst above 1000000000"),
        ([_acme(burst=-0.5)], "negative burst"),
        ([make_organisation_body("acme", ["secret-1", ""])], "empty key"),
        ([make_organisation_body("acme", "secret-1")], "Expected `array"),
        ([make_organisation_body("acme", ["secret-1", 7])], "Expected `str`"),
        ([{"apiKeys": ["secret-1"]}], "name"),
    ],
)
def test_organisations_that_cannot_be_meant_are_refused(organisations, reason):
    value = msgspec.json.encode(_body(organisations))
    for each in (value, replace_keys(value)):
        with pytest.raises(msgspec.MsgspecError) as caught:
            decode_configuration(each)
        assert_that(str(caught.value), Not(Contains("secret")))
    with pytest.raises(msgspec.MsgspecError) as caught:
        decode_configuration(value)
    assert_that(str(caught.value), Contains(reason))


def test_key_listed_twice_in_one_organisation_is_harmless():
    acme = make_organisation_body("acme", ["k1", "k1"])
    found = _decode(_body([acme])).organisations
    assert_that(found.find(digest_key("k1")).name, Equals("acme"))


# What is passed on between instances contained the keys.
def test_value_that_is_passed_on_contains_digests_instead_of_keys():
    acme = make_organisation_body("acme", ["secret-1", "secr\u00e9t-2"], ratePerS=5)
    bolt = {"name": "bolt"}
    value = msgspec.json.encode(_body([acme, bolt], open_names=("own",)))
    passed = replace_keys(value)
    assert_that(passed, Not(Contains(b"secr")))
    assert_that(decode_configuration(passed), Equals(decode_configuration(value)))
    assert_that(replace_keys(passed), Equals(passed))


# Keys in a column with a misspelt or former name were passed on in the clear.
@pytest.mark.parametrize("column", ["apikeys", "oldKeys", "api_keys", "APIKEYS"])
def test_columns_that_are_not_known_are_not_passed_on(column):
    bodies = [make_organisation_body("acme", ["k1"]) | {column: ["secret-1"]}]
    value = msgspec.json.encode(_body(bodies, open_names=("own",)))
    passed = replace_keys(value)
    assert_that(passed, Not(Contains(b"secret")))
    assert_that(decode_configuration(passed), Equals(decode_configuration(value)))
    only = {"columns": [column, "name"], "rows": [[["secret-1"], "acme"]]}
    passed = replace_keys(msgspec.json.encode(_body(None) | {"tenants": only}))
    assert_that(passed, Not(Contains(b"secret")))
    assert_that(decode_configuration(passed).organisations.by_name, Contains("acme"))


def test_value_without_organisations_is_passed_on_unchanged():
    value = msgspec.json.encode(_body(None))
    assert_that(replace_keys(value), Is(value))


# A value in which keys can't be found must not be passed on with them.
@pytest.mark.parametrize(
    "tenants",
    [
        ["secret"],
        {"columns": ["apiKeys", "apiKeys"], "rows": [[["secret"], ["secret"]]]},
        {"columns": ["name", "apiKeys"], "rows": [[["secret"]]]},
        {"columns": ["apiKeys"], "rows": [[{"k": "secret"}]]},
        "secret",
    ],
)
def test_value_whose_keys_are_not_found_says_only_its_version(tenants):
    value = msgspec.json.encode(_body(None) | {"tenants": tenants})
    passed = replace_keys(value)
    assert_that(passed, Equals(b'{"configVersion":7}'))
    newer = msgspec.json.encode({"configVersion": 8})
    assert_that(is_older(newer, passed), Is(True))
    for each in (value, passed):
        with pytest.raises(msgspec.MsgspecError) as caught:
            decode_configuration(each)
        assert_that(str(caught.value), Not(Contains("secret")))


@pytest.mark.parametrize("value", [b"", b"{", b'["secret"]', b'"secret"', b"7"])
def test_value_that_is_no_object_is_passed_on_as_nothing(value):
    assert_that(replace_keys(value), Equals(b""))
