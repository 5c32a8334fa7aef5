"""What the proxy tells of a statement, and how much work that takes."""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.wire.statement_kind import StatementKind, classify_statement

from ..linear_time import assert_linear_time

KIND = StatementKind
CASES = {
    "": (KIND.WORK, "", ""),
    "select 1": (KIND.WORK, "", ""),
    "begin": (KIND.BEGIN, "", ""),
    " BEGIN work;": (KIND.BEGIN, "", ""),
    "begin_x": (KIND.WORK, "", ""),
    "start transaction read  only": (KIND.BEGIN_READ_ONLY, "", ""),
    "start": (KIND.WORK, "", ""),
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
    "set transaction read only": (KIND.WORK, "", ""),
    "set  local x = 1": (KIND.WORK, "", ""),
    "set;": (KIND.WORK, "", ""),
    "reset all": (KIND.SET_SESSION, "all", ""),
    "discard all": (KIND.SET_SESSION, "", ""),
    "show goldcrestpond.token ;": (KIND.SHOW_DECLARED, "goldcrestpond.token", ""),
    "show goldcrestpond.": (KIND.WORK, "", ""),
    "show goldcrestpond.a.b": (KIND.WORK, "", ""),
    "show x": (KIND.WORK, "", ""),
    "prepare p as select 1": (KIND.SET_SESSION, "", ""),
    "prepare transaction 'x'": (KIND.NOT_CARRIED, "PREPARE TRANSACTION", ""),
    "commit  prepared 'x'": (KIND.NOT_CARRIED, "COMMIT PREPARED", ""),
    "commit": (KIND.WORK, "", ""),
    "rollback prepared 'x'": (KIND.NOT_CARRIED, "ROLLBACK PREPARED", ""),
    "create local temporary table t ()": (KIND.SET_SESSION, "", ""),
    "create table temp ()": (KIND.WORK, "", ""),
    "copy t from stdin": (KIND.NOT_CARRIED, "COPY", ""),
}
GAP = " "
# A text of about n letters each; the first two took 40 s and 36 s at 64,000.
WORST = {
    "space behind a show": lambda n: "show goldcrestpond.a" + GAP * n + "x",
    "space before an assignment": lambda n: "set goldcrestpond.x " + GAP * n + "= ",
    "space behind a value": lambda n: "set x = 1" + GAP * n + "y",
    "space behind set": lambda n: "set" + GAP * n,
    "space behind session": lambda n: "set session" + GAP * n + ";;",
    "space behind begin": lambda n: "begin" + GAP * n + "x",
    "space behind start": lambda n: "start" + GAP * n + "transactio",
    "space behind prepare": lambda n: "prepare" + GAP * n + "transactio",
    "space behind create": lambda n: "create" + GAP * n + "local" + GAP * n + "tem",
    "many reads": lambda n: "begin " + "read   " * (n // 7),
    "open quote": lambda n: "set x = '" + "''" * (n // 2),
    "odd quotes": lambda n: "set x = " + "'" * (n | 1),
    "long word": lambda n: "set " + "x" * n,
    "dots": lambda n: "set " + "." * n + " t",
    "long work": lambda n: "select '" + "y" * n + "'",
    "leading space": lambda n: GAP * n,
}


@pytest.mark.parametrize("text", CASES)
def test_kind_name_and_value(text):
    statement = classify_statement(text)
    read = (statement.kind, statement.name, statement.value)
    assert_that(read, Equals(CASES[text]))


# Guards against: one caller's statement of 64 KB that stops the loop, and with it all
# callers, heartbeats and promotions of the instance, for 40 s.
@pytest.mark.parametrize("name", WORST)
def test_work_grows_with_the_length_of_a_statement(name):
    assert_linear_time(classify_statement, WORST[name])


_PIECES = st.sampled_from(
    "set session local transaction reset show goldcrestpond.lane x a.b = to begin "
    "start read only , ; prepare commit prepared create temp copy '' 'a' ' . 5".split()
)


@given(st.lists(st.tuples(_PIECES, st.sampled_from(["", " ", "  ", "\t\n"]))))
def test_any_sequence_of_pieces_has_a_kind(pieces):
    text = "".join(piece + gap for piece, gap in pieces)
    statement = classify_statement(text)
    assert_that(statement, Equals(classify_statement(text + "  ")))
