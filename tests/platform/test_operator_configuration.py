"""Decoding of the operator's configuration, which has tables of columns and rows."""

from datetime import timedelta

import msgspec
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.platform.operator_configuration import decode_configuration
from goldcrestpond.serving.route import ReadPolicy
from goldcrestpond.standin.line_bodies import make_configuration_body, make_table_body


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
