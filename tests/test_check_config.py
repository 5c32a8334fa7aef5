"""The program that checks a configuration before it is sent."""

import json
import sys

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not, StartsWith

from goldcrestpond.cli.check_config import check_config, find_all, main
from goldcrestpond.errors.decode_errors import DECODE_ERRORS
from goldcrestpond.platform.operator_configuration import (
    decode_configuration,
    tabulate_lists,
)
from goldcrestpond.serving.configuration_draft import ConfigurationDraft
from goldcrestpond.serving.severity import Severity
from goldcrestpond.standin.line_bodies import (
    make_configuration_body,
    make_organisation_body,
)

_SECRET = "kestrel-6b1f"  # a key that no output may contain


def _body(version=7, **more):
    organisations = [
        make_organisation_body("a", ["key-of-a", _SECRET], ratePerS=50, burst=5),
        make_organisation_body("b", ["key-of-b"]),
    ]
    arguments = {"organisations": organisations, **more}
    return make_configuration_body(
        version, "s", 48, {"aged": 1500, "own": 500}, 800, **arguments
    )


@pytest.fixture
def write(tmp_path):
    def write_file(name, body):
        path = tmp_path / name
        is_text = isinstance(body, bytes)
        path.write_bytes(body if is_text else msgspec.json.encode(body))
        return str(path)

    return write_file


def _run(*arguments, **options):
    """Return the exit status of the program."""
    try:
        check_config(*arguments, **options)
    except SystemExit as error:
        return error.code
    return 0


def _rows(body, part):
    table = body[part]
    return [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]


def test_a_sound_configuration_has_status_0(write, capsys):
    status = _run(write("new", _body()), against=write("old", _body(6)))
    assert_that(status, Equals(0))
    lines = capsys.readouterr().out.splitlines()
    assert_that(
        lines,
        Equals(
            [
                "difference changed: version: 6 -> 7",
                "errors: 0, warnings: 0, differences: 1",
            ]
        ),
    )


def test_the_command_line_names_files_and_form(write, capsys, monkeypatch):
    new, old = write("new", _body(7)), write("old", _body(8))
    arguments = ["goldcrestpond-check-config", new, "--against", old, "--json"]
    monkeypatch.setattr(sys, "argv", arguments)
    with pytest.raises(SystemExit) as caught:
        main()
    assert_that(caught.value.code, Equals(1))
    severities = [each["severity"] for each in json.loads(capsys.readouterr().out)]
    assert_that(severities, Equals(["error", "difference"]))


def test_warnings_alone_have_status_0(write, capsys):
    organisations = [make_organisation_body("a", [])]
    status = _run(write("new", _body(organisations=organisations)))
    assert_that(status, Equals(0))
    assert_that(
        capsys.readouterr().out, StartsWith("warning    organisation-without-keys: ")
    )


def test_plain_lists_are_read_like_tables(write, capsys):
    body = _body()
    for part in ("routes", "services", "tenants"):
        body[part] = _rows(body, part)
    status = _run(write("new", body), against=write("old", _body()), json=True)
    assert_that(status, Equals(1))
    (finding,) = json.loads(capsys.readouterr().out)
    assert_that(finding["code"], Equals("version-not-higher"))


def test_every_fault_is_told_with_its_place(write, capsys):
    body = _body()
    routes = _rows(body, "routes")
    routes[0]["routeType"] = "nearest"
    routes[2]["timeoutMs"] = "soon"
    organisations = _rows(body, "tenants")
    organisations[0]["apiKeys"] = [_SECRET, ""]
    organisations[1]["ratePerS"] = -1
    body |= {"routes": routes, "tenants": organisations}
    assert_that(_run(write("new", body), json=True), Equals(1))
    output = capsys.readouterr().out
    places = [each["subject"] for each in json.loads(output)]
    expected = [
        "organisation in row 1",
        "organisation in row 2",
        "route in row 1",
        "route in row 3",
    ]
    assert_that(sorted(places), Equals(expected))
    assert_that(output, Contains("organisation 'a': key 2 is empty"))
    assert_that(output, Not(Contains(_SECRET)))


# A row that lacks a value.
def test_a_short_row_is_told_with_its_number(write, capsys):
    body = _body()
    body["routes"]["rows"][1] = body["routes"]["rows"][1][1:]
    assert_that(_run(write("new", body)), Equals(1))
    assert_that(capsys.readouterr().out, Contains("route in row 2"))


# A column that is listed twice.
@pytest.mark.parametrize("row_count", [0, 2])
def test_a_repeated_column_is_told_once(write, capsys, row_count):
    body = _body()
    body["services"] = {"columns": ["name", "name"], "rows": [["s", "s"]] * row_count}
    assert_that(_run(write("new", body), json=True), Equals(1))
    found = [
        (each["subject"], each["detail"])
        for each in json.loads(capsys.readouterr().out)
    ]
    assert_that(found, Equals([("services", "a column is listed twice")]))


# A version that the instances refuse although each entry can be decoded.
def test_what_the_instances_refuse_is_an_error_in_any_case(monkeypatch):
    module = "goldcrestpond.cli.check_config.decode_draft"
    monkeypatch.setattr(module, lambda value: ConfigurationDraft())
    (finding,) = find_all(b"{}", None)
    assert_that(finding.severity, Equals(Severity.ERROR))


# A file that is not JSON.
def test_a_configuration_that_is_not_json_is_an_error(write, capsys):
    assert_that(_run(write("new", b"{,")), Equals(1))
    assert_that(capsys.readouterr().out, StartsWith("error      unreadable: "))


# A file that is missing.
def test_a_file_that_cannot_be_read_has_status_2(write, tmp_path, capsys):
    missing = str(tmp_path / "missing")
    assert_that(_run(missing), Equals(2))
    assert_that(_run(write("new", _body()), against=missing), Equals(2))
    assert_that(capsys.readouterr().err, Contains("missing: No such file"))


# A version in force with which nothing can be compared.
def test_an_unreadable_version_in_force_has_status_2(write):
    status = _run(write("new", _body()), against=write("old", b"{}"))
    assert_that(status, Equals(2))


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(st.data())
def test_a_damaged_configuration_is_told_as_far_as_it_is_unusable(data):
    body = _body()
    part = data.draw(st.sampled_from(["routes", "services", "tenants", "limits"]))
    if part == "limits" or data.draw(st.booleans()):
        body[part] = data.draw(_JSON)
    else:
        records = _rows(body, part)
        record = data.draw(st.sampled_from(records))
        record[data.draw(st.sampled_from(sorted(record)))] = data.draw(_JSON)
        body[part] = records
    value = tabulate_lists(msgspec.json.encode(body))
    findings = find_all(value, None)
    errors = [each for each in findings if each.severity is Severity.ERROR]
    try:
        decode_configuration(value)
    except (*DECODE_ERRORS, KeyError):
        assert_that(errors, Not(Equals([])))
    else:
        codes = {each.code for each in errors}
        assert_that(codes <= {"duplicate-name", "unknown-service"}, Equals(True))
    assert_that(repr(findings), Not(Contains(_SECRET)))
