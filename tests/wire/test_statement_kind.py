"""Classification of SQL statements, and the time that it takes."""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.wire.statement_kind import StatementKind, classify_statement

from ..linear_time import assert_linear_time

KIND = StatementKind
CASES = {
    "": (KIND.OTHER, "", ""),
    "select 1": (KIND.OTHER, "", ""),
    "begin": (KIND.BEGIN, "", ""),
    " BEGIN work;": (KIND.BEGIN, "", ""),
    "begin_x": (KIND.OTHER, "", ""),
    "start transaction read  only": (KIND.BEGIN_READ_ONLY, "", ""),
    "start": (KIND.OTHER, "", ""),
    "begin isolation level serializable, read only, deferrable": (
        KIND.BEGIN_READ_ONLY,
        "",
        "",
    ),
    "begin; set x to 'read only'": (KIND.BEGIN, "", ""),
    "set goldcrestpond.lane = 'aged'": (KIND.DECLARE, "goldcrestpond.lane", "aged"),
    "SET SESSION Goldcrestpond.Lane TO aged;": (
        KIND.DECLARE,
        "goldcrestpond.lane",
        "aged",
    ),
    "set goldcrestpond.token=''": (KIND.DECLARE, "goldcrestpond.token", ""),
    "reset goldcrestpond.token": (KIND.DECLARE, "goldcrestpond.token", ""),
    "reset default_transaction_read_only": (
        KIND.DECLARE,
        "default_transaction_read_only",
        "off",
    ),
    "set x to 'it''s'": (KIND.SET_SESSION, "x", "it's"),
    "set x to 'open": (KIND.SET_SESSION, "", ""),
    "set x to a, b": (KIND.SET_SESSION, "", ""),
    "set x =": (KIND.SET_SESSION, "", ""),
    "set session": (KIND.SET_SESSION, "", ""),
    "set session transaction read only": (KIND.SET_SESSION, "", ""),
    "set transaction read only": (KIND.OTHER, "", ""),
    "set  local x = 1": (KIND.OTHER, "", ""),
    "set;": (KIND.OTHER, "", ""),
    "reset all": (KIND.SET_SESSION, "all", ""),
    "discard all": (KIND.SET_SESSION, "", ""),
    "show goldcrestpond.token ;": (KIND.SHOW_DECLARED, "goldcrestpond.token", ""),
    "show goldcrestpond.": (KIND.OTHER, "", ""),
    "show goldcrestpond.a.b": (KIND.OTHER, "", ""),
    "show x": (KIND.OTHER, "", ""),
    "prepare p as select 1": (KIND.SET_SESSION, "", ""),
    "prepare transaction 'x'": (KIND.NOT_CARRIED, "PREPARE TRANSACTION", ""),
    "commit  prepared 'x'": (KIND.NOT_CARRIED, "COMMIT PREPARED", ""),
    "commit": (KIND.OTHER, "", ""),
    "rollback prepared 'x'": (KIND.NOT_CARRIED, "ROLLBACK PREPARED", ""),
    "create local temporary table t ()": (KIND.SET_SESSION, "", ""),
    "create table temp ()": (KIND.OTHER, "", ""),
    "copy t from stdin": (KIND.NOT_CARRIED, "COPY", ""),
}
SPACE = " "
# Functions that return a text of about n characters. Before texts were parsed in linear
# time, the first two took 40 s and 36 s at 64,000 characters.
SLOW_STATEMENTS = {
    "space after a show": lambda n: "show goldcrestpond.a" + SPACE * n + "x",
    "space before an assignment": lambda n: "set goldcrestpond.x " + SPACE * n + "= ",
    "space after a value": lambda n: "set x = 1" + SPACE * n + "y",
    "space after set": lambda n: "set" + SPACE * n,
    "space after session": lambda n: "set session" + SPACE * n + ";;",
    "space after begin": lambda n: "begin" + SPACE * n + "x",
    "space after start": lambda n: "start" + SPACE * n + "transactio",
    "space after prepare": lambda n: "prepare" + SPACE * n + "transactio",
    "space after create": lambda n: "create" + SPACE * n + "local" + SPACE * n + "tem",
    "many reads": lambda n: "begin " + "read   " * (n // 7),
    "open quote": lambda n: "set x = '" + "''" * (n // 2),
    "odd quotes": lambda n: "set x = " + "'" * (n | 1),
    "long word": lambda n: "set " + "x" * n,
    "dots": lambda n: "set " + "." * n + " t",
    "long work": lambda n: "select '" + "y" * n + "'",
    "leading space": lambda n: SPACE * n,
}


@pytest.mark.parametrize("text", CASES)
def test_kind_name_and_value(text):
    statement = classify_statement(text)
    read = (statement.kind, statement.name, statement.value)
    assert_that(read, Equals(CASES[text]))


# Guards against: a statement of 64 KB from one caller that blocks the event loop for
# 40 s, and with it all callers, heartbeats and promotions of the instance.
@pytest.mark.parametrize("name", SLOW_STATEMENTS)
def test_statement_is_classified_in_linear_time(name):
    assert_linear_time(classify_statement, SLOW_STATEMENTS[name])


_TOKENS = st.sampled_from(
    "set session local transaction reset show goldcrestpond.lane x a.b = to begin "
    "start read only , ; prepare commit prepared create temp copy '' 'a' ' . 5".split()
)


@given(st.lists(st.tuples(_TOKENS, st.sampled_from(["", " ", "  ", "\t\n"]))))
def test_any_sequence_of_tokens_is_classified(tokens):
    text = "".join(token + space for token, space in tokens)
    statement = classify_statement(text)
    assert_that(statement, Equals(classify_statement(text + "  ")))
