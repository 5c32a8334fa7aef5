"""Session values and prepared statements of one caller."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Raises

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.shape import Shape
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind


def test_session_keeps_values_and_shapes_of_prepared_statements():
    session = SessionState()
    session.apply(Statement("1", StatementKind.SET, "", "v", "1"))
    session.apply(Statement("2", StatementKind.PREPARE, "", "s", "q", is_write=True))
    assert_that(session.values, Equals({"v": "1"}))
    assert_that(session.get_shape("s"), Equals(Shape(True, "q")))
    execution = Statement("3", StatementKind.EXECUTE, "", "s", "a")
    assert_that(session.is_write(execution), Is(True))
    session.apply(Statement("4", StatementKind.DEALLOCATE, "", "s"))
    assert_that(lambda: session.get_shape("s"), Raises())


def test_deallocating_an_unknown_name_is_an_error():
    with pytest.raises(CodedError):
        SessionState().apply(Statement("1", StatementKind.DEALLOCATE, "", "s"))
