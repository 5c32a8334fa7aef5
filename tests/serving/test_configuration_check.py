"""The check of a configuration: errors, entries without effect, contradictions."""

from dataclasses import replace
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from goldcrestpond.serving.configuration_check import (
    LEAST_CONNECTIONS,
    check_configuration,
)
from goldcrestpond.serving.configuration_draft import ConfigurationDraft
from goldcrestpond.serving.connection_share import (
    FAILOVER_RESERVE_CONNECTIONS,
    LEADER_CHECK_CONNECTIONS,
    connection_share,
)
from goldcrestpond.serving.finding import Finding
from goldcrestpond.serving.organisation import LOWEST_PRIORITY, Organisation
from goldcrestpond.serving.organisation_draft import OrganisationDraft
from goldcrestpond.serving.organisations import digest_key
from goldcrestpond.serving.route import ReadPolicy, Route
from goldcrestpond.serving.route_table import ServiceLimits
from goldcrestpond.serving.severity import Severity


def _ms(count):
    return timedelta(milliseconds=count)


_ROUTE = Route("main", "s", ReadPolicy.CURRENT, _ms(0), _ms(800), _ms(200), 1)
_BOUNDED = replace(_ROUTE, policy=ReadPolicy.BOUNDED, max_age=_ms(100))
_LIMITS = ServiceLimits(48, 1)


def _organisation(name="a", keys=("k",), **limits):
    digests = {f"key {i}": digest_key(key) for i, key in enumerate(keys, 1)}
    return OrganisationDraft(Organisation(name, **limits), digests)


_DRAFT = ConfigurationDraft(7, [_ROUTE], [("s", _LIMITS)], _ms(3000), [_organisation()])


def _found(draft, version_in_force=None):
    findings = check_configuration(draft, version_in_force)
    return [(each.severity, each.code, each.subject) for each in findings]


def test_a_sound_configuration_has_no_finding():
    assert_that(check_configuration(_DRAFT, 6), Equals([]))
    without = replace(_DRAFT, organisations=None)
    assert_that(check_configuration(without), Equals([]))


@pytest.mark.parametrize(
    ("changes", "code", "subject"),
    [
        ({"services": [("s", _LIMITS)] * 2}, "duplicate-name", "service 's'"),
        (
            {"organisations": [_organisation(), _organisation(keys=("l",))]},
            "duplicate-name",
            "organisation 'a'",
        ),
        ({"services": []}, "unknown-service", "route 'main'"),
        (
            {"organisations": [_organisation(), _organisation("b", ("l", "k"))]},
            "shared-key",
            "organisation 'b'",
        ),
    ],
)
def test_what_makes_a_version_unusable_is_an_error(changes, code, subject):
    found = _found(replace(_DRAFT, **changes))
    assert_that(found, Equals([(Severity.ERROR, code, subject)]))


@pytest.mark.parametrize("in_force", [7, 8])
def test_a_version_must_be_higher_than_the_one_in_force(in_force):
    found = _found(_DRAFT, in_force)
    assert_that(found, Equals([(Severity.ERROR, "version-not-higher", "version")]))


def test_a_shared_key_is_named_by_organisation_and_position():
    draft = replace(
        _DRAFT, organisations=[_organisation(), _organisation("b", ("l", "k"))]
    )
    (finding,) = check_configuration(draft)
    assert_that(finding.detail, Equals("key 2 is also key 1 of 'a'"))


@pytest.mark.parametrize(
    ("changes", "code", "subject"),
    [
        ({"routes": [_ROUTE, _ROUTE]}, "route-never-matches", "route 'main'"),
        (
            {"services": [("s", _LIMITS), ("t", _LIMITS)]},
            "service-unused",
            "service 't'",
        ),
        (
            {"organisations": [_organisation(), _organisation("b", ())]},
            "organisation-without-keys",
            "organisation 'b'",
        ),
        (
            {"routes": [replace(_ROUTE, is_open=True)]},
            "organisations-not-needed",
            "organisations",
        ),
        ({"organisations": []}, "route-without-callers", "route 'main'"),
        (
            {"organisations": [_organisation(keys=("k", "k"))]},
            "repeated-key",
            "organisation 'a'",
        ),
    ],
)
def test_an_entry_that_can_never_match_is_a_warning(changes, code, subject):
    found = _found(replace(_DRAFT, **changes))
    assert_that(found, Equals([(Severity.WARNING, code, subject)]))


def test_a_service_is_unused_if_only_a_route_that_never_matches_leads_to_it():
    routes = [replace(_ROUTE, service="t"), _ROUTE]
    services = [("s", _LIMITS), ("t", _LIMITS)]
    found = _found(replace(_DRAFT, routes=routes, services=services))
    assert_that(found, Contains((Severity.WARNING, "service-unused", "service 't'")))


@pytest.mark.parametrize(
    ("route", "code"),
    [
        (replace(_ROUTE, timeout=_ms(199)), "timeout-below-objective"),
        (replace(_ROUTE, timeout=_ms(0)), "timeout-not-positive"),
        (replace(_BOUNDED, max_age=_ms(0)), "maximum-age-zero"),
        (replace(_ROUTE, max_age=_ms(5)), "maximum-age-without-effect"),
        (replace(_ROUTE, priority=-1), "priority-out-of-range"),
    ],
)
def test_limits_of_a_route_that_contradict_each_other(route, code):
    found = _found(replace(_DRAFT, routes=[route]))
    assert_that(found, Equals([(Severity.WARNING, code, "route 'main'")]))


@pytest.mark.parametrize(
    ("limits", "codes"),
    [
        ({"rate_per_s": 0.0, "burst": 1.0}, ["rate-zero"]),
        ({"rate_per_s": 5.0, "burst": 0.9}, ["burst-below-one"]),
        ({"rate_per_s": 0.0, "burst": 0.0}, ["rate-zero", "burst-below-one"]),
        ({"rate_per_s": 5.0, "burst": 1.0}, []),
        ({"burst": 3.0}, ["burst-without-rate"]),
        ({"priority": -1}, ["priority-out-of-range"]),
        ({"priority": LOWEST_PRIORITY + 1}, ["priority-out-of-range"]),
        ({"priority": LOWEST_PRIORITY}, []),
    ],
)
def test_limits_of_an_organisation_that_contradict_each_other(limits, codes):
    found = _found(replace(_DRAFT, organisations=[_organisation(**limits)]))
    expected = [(Severity.WARNING, code, "organisation 'a'") for code in codes]
    assert_that(found, Equals(expected))


def test_limits_that_are_equal_do_not_contradict_each_other():
    route = replace(_ROUTE, timeout=_ROUTE.objective)
    draft = replace(_DRAFT, routes=[route], transaction_idle_limit=route.timeout)
    assert_that(check_configuration(draft), Equals([]))


def test_an_idle_limit_below_the_longest_timeout_names_the_route():
    routes = [_ROUTE, replace(_ROUTE, database="slow", timeout=_ms(3001))]
    (finding,) = check_configuration(replace(_DRAFT, routes=routes))
    assert_that(finding.code, Equals("idle-limit-below-timeout"))
    assert_that(finding.detail, Contains("route 'slow', 3001 ms"))


@given(st.integers(-5, 40))
def test_a_connection_limit_is_too_low_if_one_holder_alone_exceeds_it(limit):
    draft = replace(_DRAFT, services=[("s", ServiceLimits(limit, 1))])
    opened = connection_share(limit, 1)
    opened += LEADER_CHECK_CONNECTIONS + FAILOVER_RESERVE_CONNECTIONS
    codes = [each.code for each in check_configuration(draft)]
    assert_that(codes == ["connection-limit-too-low"], Equals(opened > limit))
    assert_that(limit < LEAST_CONNECTIONS, Equals(opened > limit))


# An entry that cannot be decoded, so that others seem to lead nowhere.
def test_references_are_not_checked_while_entries_are_missing():
    fault = Finding(Severity.ERROR, "unreadable", "service in row 1", "why")
    draft = replace(_DRAFT, services=[], faults=[fault])
    assert_that(check_configuration(draft), Equals([fault]))


_NAMES = st.sampled_from(["a", "b", "c"])
_DRAFTS = st.builds(
    ConfigurationDraft,
    st.none() | st.integers(0, 9),
    st.lists(
        st.builds(
            Route,
            _NAMES,
            _NAMES,
            st.sampled_from(ReadPolicy),
            *[st.integers(-1, 3).map(_ms)] * 3,
            st.integers(-1, 2),
            st.booleans(),
        ),
        max_size=4,
    ),
    st.lists(st.tuples(_NAMES, st.just(_LIMITS)), max_size=4),
    st.none() | st.integers(0, 3).map(_ms),
    st.none()
    | st.lists(
        st.builds(_organisation, _NAMES, st.lists(_NAMES, max_size=3)), max_size=4
    ),
)


@given(_DRAFTS, st.none() | st.integers(0, 9))
def test_findings_are_sorted_by_severity(draft, in_force):
    findings = check_configuration(draft, in_force)
    severities = [each.severity for each in findings]
    assert_that(severities, Equals(sorted(severities)))
    assert_that(severities, Not(Contains(Severity.DIFFERENCE)))


@given(_DRAFTS)
def test_a_configuration_without_errors_has_unique_names_and_known_services(draft):
    errors = [each for each in check_configuration(draft) if not each.severity]
    names = [name for name, _ in draft.services]
    organisations = [each.organisation.name for each in draft.organisations or []]
    owners = {}
    for each in draft.organisations or []:
        for digest in each.key_digests.values():
            owners.setdefault(digest, set()).add(each.organisation.name)
    is_sound = (
        len(set(names)) == len(names)
        and len(set(organisations)) == len(organisations)
        and all(route.service in names for route in draft.routes)
        and all(len(each) == 1 for each in owners.values())
    )
    assert_that(not errors, Equals(is_sound))
