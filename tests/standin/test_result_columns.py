"""Inference of columns and parameter types, and the time that parsing takes."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.standin.database_error import DatabaseError
from goldcrestpond.standin.result_columns import describe_columns, describe_parameters
from goldcrestpond.standin.session_settings import parse_set
from goldcrestpond.standin.statement import parse_statement, split_statements

from ..linear_time import assert_linear_time

TABLES = {"t": [("a", 20), ("b", 25)]}
TYPES = {"a": 20, "b": 25}
GAP = " "
WORST = {
    "literal": lambda n: "select '" + "y" * n + "'",
    "compared literal": lambda n: "select a from t where b = '" + "y" * n + "'",
    "open literal": lambda n: "select '" + "y" * n,
    "doubled quotes": lambda n: "select '" + "''" * (n // 2),
    "odd quotes": lambda n: "select " + "'\"" * (n // 2),
    "open comments": lambda n: "select " + "/*" * (n // 2),
    "dashes": lambda n: "select " + "-" * n,
    "space before an operator": lambda n: "select 1" + GAP * n + "x",
    "operators": lambda n: "select 1" + "+1" * (n // 2),
    "space behind a table": lambda n: "insert into t" + GAP * n + "x",
    "open insert": lambda n: "insert into t (" * (n // 15),
    "rows": lambda n: "insert into t values " + "(1,$1)," * (n // 7) + "(1,2)",
    "inserted literal": lambda n: "insert into t values ('" + "y" * n + "', $1)",
    "brackets": lambda n: "select " + "(" * n,
    "calls": lambda n: "select " + "f(" * (n // 3) + ")" * (n // 3),
    "sums": lambda n: "select " + "sum(" * (n // 5) + "1" + ")" * (n // 5),
    "commas": lambda n: "select " + "1," * (n // 2) + "1",
    "aliases": lambda n: "select 1 " + "as x " * (n // 5),
    "space behind as": lambda n: "select 1 as" + GAP * n + "!",
    "casts": lambda n: "select 1" + "::int" * (n // 5),
    "long word": lambda n: "select " + "x" * n,
    "semicolons": lambda n: ";" * n,
    "space": lambda n: "select" + GAP * n + "x",
    "words": lambda n: "select " + "x " * (n // 2),
    "quoted names": lambda n: 'select "' + "x" * n + '"',
}


def _parse_and_describe(text):
    for statement in split_statements(text):
        given = describe_parameters(statement, [], TABLES, TYPES)
        describe_columns(statement, given, TABLES, TYPES)


# Guards against: parsing in more than linear time. A literal of 300,000 letters blocked
# the event loop of a stand-in for minutes, so that nobody could connect.
@pytest.mark.parametrize("name", WORST)
def test_statements_are_parsed_in_linear_time(name):
    assert_linear_time(_parse_and_describe, WORST[name])


@pytest.mark.parametrize("text", ["set x", "set x" + "{}", "set " + "{}" + "x"])
def test_set_statements_are_parsed_in_linear_time(text):
    def read(source):
        with pytest.raises(DatabaseError):
            parse_set(source)

    assert_linear_time(read, lambda n: text.format(GAP * n))


@pytest.mark.parametrize("number", ["70000", "9" * 5000])
def test_parameter_number_beyond_the_protocol_limit_is_refused(number):
    with pytest.raises(DatabaseError) as caught:
        parse_statement(f"select ${number}")
    assert_that(caught.value.sqlstate, Equals("54000"))


@pytest.mark.parametrize(
    "text,names",
    [
        ("select a, b as c from t", [("a", 20), ("c", 25)]),
        ("select * from t", [("a", 20), ("b", 25)]),
        ("select count(*), sum(a) + 1 from t", [("count", 20), ("?column?", 20)]),
        ("select a - 1 from t", [("?column?", 20)]),
        ("select 'a as b'", [("?column?", 25)]),
        ("insert into t (a) values ($1) returning a", [("a", 20)]),
    ],
)
def test_describe_columns_of_common_statements(text, names):
    statement = parse_statement(text)
    given = describe_parameters(statement, [], TABLES, TYPES)
    columns = describe_columns(statement, given, TABLES, TYPES)
    assert_that(columns, Equals(names))


def test_parameters_get_the_types_of_columns_they_are_used_with():
    text = "insert into t (b, a) values ($1, $2), ('x', $3)"
    given = describe_parameters(parse_statement(text), [], TABLES, TYPES)
    assert_that(given, Equals([25, 20, 20]))
    text = "select a from t where a = $1 and b <> $2 limit $3"
    given = describe_parameters(parse_statement(text), [], TABLES, TYPES)
    assert_that(given, Equals([20, 25, 20]))
