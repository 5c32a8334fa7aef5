"""What differs between two versions of the configuration, and who loses access."""

from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from goldcrestpond.serving.configuration_difference import find_differences
from goldcrestpond.serving.organisation import Organisation
from goldcrestpond.serving.organisations import Organisations, digest_key
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.route_table import RouteTable, ServiceLimits
from goldcrestpond.serving.severity import Severity

_ROUTE = Route(
    "main",
    "s",
    ReadPolicy.CURRENT,
    timedelta(0),
    timedelta(milliseconds=800),
    timedelta(milliseconds=200),
    1,
)


def _organisations(keys_by_name, **limits):
    by_name = {name: Organisation(name, **limits) for name in keys_by_name}
    by_digest = {
        digest_key(key): by_name[name]
        for name, keys in keys_by_name.items()
        for key in keys
    }
    return Organisations(by_name, by_digest)


def _table(version=1, organisations=None, **route_changes):
    route = replace(_ROUTE, **route_changes)
    return RouteTable(
        version,
        {route.database: route},
        {"s": ServiceLimits(48, 1)},
        organisations=organisations,
    )


def _found(old, new):
    return [
        (each.code, each.subject, each.detail) for each in find_differences(old, new)
    ]


def test_the_same_configuration_has_no_difference():
    table = _table(organisations=_organisations({"a": "kl"}))
    assert_that(_found(table, table), Equals([]))


def test_changed_values_are_told_old_and_new():
    old = _table()
    new = replace(
        _table(2, timeout=timedelta(milliseconds=1500), policy=ReadPolicy.BOUNDED),
        services={"s": ServiceLimits(32, 1)},
        transaction_idle_limit=timedelta(seconds=3),
    )
    expected = [
        ("changed", "version", "1 -> 2"),
        ("changed", "idle limit of transactions", "10000 ms -> 3000 ms"),
        ("changed", "route 'main'", "policy current -> bounded"),
        ("changed", "route 'main'", "timeout 800 ms -> 1500 ms"),
        ("changed", "service 's'", "connection limit 48 -> 32"),
    ]
    assert_that(_found(old, new), Equals(expected))


def test_entries_are_told_as_added_and_removed():
    old = _table()
    new = replace(_table(database="other"), services={"t": ServiceLimits(9, 0)})
    found = [each[:2] for each in _found(old, new)]
    expected = [
        ("access-lost", "route 'main'"),
        ("removed", "route 'main'"),
        ("added", "route 'other'"),
        ("removed", "service 's'"),
        ("added", "service 't'"),
    ]
    assert_that(found, Equals(expected))


def test_limits_of_an_organisation_are_told():
    old = _table(organisations=_organisations({"a": "k"}))
    new = _table(organisations=_organisations({"a": "k"}, rate_per_s=5.0, burst=2.0))
    expected = [
        ("changed", "organisation 'a'", "rate per s unlimited -> 5"),
        ("changed", "organisation 'a'", "burst unlimited -> 2"),
    ]
    assert_that(_found(old, new), Equals(expected))


def test_keys_are_told_by_organisation_and_number():
    old = _table(organisations=_organisations({"a": "kl", "b": "mn"}))
    new = _table(organisations=_organisations({"a": "kxyz", "b": "m"}))
    expected = [
        (
            "access-lost",
            "organisation 'a'",
            "callers with 1 key lose access: withdrawn",
        ),
        (
            "access-lost",
            "organisation 'b'",
            "callers with 1 key lose access: withdrawn",
        ),
        ("keys-added", "organisation 'a'", "3 keys"),
        ("keys-removed", "organisation 'a'", "1 key"),
        ("keys-removed", "organisation 'b'", "1 key"),
    ]
    assert_that(_found(old, new), Equals(expected))


def test_a_key_that_moves_keeps_its_access():
    old = _table(organisations=_organisations({"a": "k", "b": "m"}))
    new = _table(organisations=_organisations({"a": "", "b": "mk"}))
    expected = [("keys-moved", "organisation 'a'", "1 key -> organisation 'b'")]
    assert_that(_found(old, new), Equals(expected))


def test_callers_without_a_key_lose_a_route_that_needs_one_from_now_on():
    lost = "callers without a key of an organisation lose access"
    organisations = _organisations({"a": "k"})
    expected = ("access-lost", "route 'main'", lost)
    was_without = _found(_table(), _table(organisations=organisations))
    assert_that(was_without, Contains(expected))
    was_open = _table(organisations=organisations, is_open=True)
    found = _found(was_open, _table(organisations=organisations))
    assert_that(found, Contains(expected))


def test_withdrawn_keys_lose_nothing_where_all_routes_are_open():
    old = _table(organisations=_organisations({"a": "k"}), is_open=True)
    new = _table(organisations=_organisations({"a": ""}), is_open=True)
    codes = [each[0] for each in _found(old, new)]
    assert_that(codes, Equals(["keys-removed"]))


_KEYS = st.dictionaries(
    st.sampled_from("ab"), st.sets(st.sampled_from("klmn")), max_size=2
)
_TABLES = st.builds(
    _table,
    st.integers(1, 2),
    st.none() | _KEYS.map(_organisations),
    database=st.sampled_from(["main", "other"]),
    is_open=st.booleans(),
    priority=st.integers(0, 1),
)


def _may_enter(table, database, key):
    route = table.routes.get(database)
    if route is None:
        return False
    if table.organisations is None or route.is_open:
        return True
    return table.organisations.find(digest_key(key)) is not None


@given(_TABLES, _TABLES)
def test_access_that_is_lost_is_always_told(old, new):
    is_lost = any(
        _may_enter(old, database, key) and not _may_enter(new, database, key)
        for database in ("main", "other")
        for key in ("k", "l", "m", "n", "none")
    )
    findings = find_differences(old, new)
    if is_lost:
        assert_that([each.code for each in findings], Contains("access-lost"))
    warnings = [each for each in findings if each.severity is Severity.WARNING]
    assert_that(findings[: len(warnings)], Equals(warnings))


@given(_TABLES, _TABLES)
def test_no_difference_is_told_only_between_equal_tables(old, new):
    assert_that(not find_differences(old, new), Equals(old == new))


@given(_TABLES, _TABLES)
def test_no_digest_is_told(old, new):
    text = repr(find_differences(old, new))
    for key in "klmn":
        assert_that(text, Not(Contains(digest_key(key).hex())))
