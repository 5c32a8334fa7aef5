"""Lines of the platform's protocol: valid, split, random and malformed."""

import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, StartsWith

from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.group.log_position import LogPosition
from goldcrestpond.group.role import Role
from goldcrestpond.platform import line_codec as codec
from goldcrestpond.platform.line_buffer import MESSAGE_LIMIT_BYTES, LineBuffer
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.statement_kind import StatementKind
from goldcrestpond.serving.transaction_state import TransactionState
from goldcrestpond.standin.line_bodies import NOT_EXECUTED_CODES


def _lines(data, cuts):
    buffer = LineBuffer()
    lines = []
    offsets = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in zip(offsets, offsets[1:], strict=False):
        buffer.feed(data[start:end])
        while (line := buffer.next_line()) is not None:
            lines.append(line)
    return lines


@given(st.lists(st.binary(max_size=40)), st.lists(st.integers(0, 999)))
def test_lines_do_not_depend_on_how_bytes_are_split(parts, cuts):
    clean = [part.replace(b"\n", b"") for part in parts]
    data = b"".join(part + b"\r\n" for part in clean)
    expected = data.decode("latin-1").split("\r\n")[:-1]
    assert_that(_lines(data, cuts), Equals(expected))


def test_line_beyond_the_limit_is_refused():
    buffer = LineBuffer()
    buffer.feed(b"x" * (MESSAGE_LIMIT_BYTES + 1))
    with pytest.raises(CodedError) as caught:
        buffer.next_line()
    assert_that(caught.value.code, Is(ResultCode.FRAME_TOO_LARGE))


@given(st.text(alphabet=st.characters(max_codepoint=255, exclude_characters="\r\n")))
def test_any_line_of_a_caller_is_decoded_or_refused(line):
    try:
        message = codec.decode_caller_line(line)
        if isinstance(message, codec.Query):
            codec.decode_statement(message)
    except CodedError as error:
        assert_that(error.code, Is(ResultCode.MALFORMED_FRAME))


@given(st.text(alphabet=st.characters(max_codepoint=255, exclude_characters="\r\n")))
def test_any_line_of_a_database_is_decoded_or_refused(line):
    try:
        codec.ReplyDecoder().feed(line)
    except CodedError as error:
        assert_that(error.code, Is(ResultCode.ENDPOINT_MALFORMED))


@pytest.mark.parametrize(
    ("text", "kind", "name", "argument", "is_write"),
    [
        ("READ 1a4", StatementKind.READ, "", "1a4", False),
        ("WRITE 1a4 x y", StatementKind.WRITE, "", "1a4 x y", True),
        ("SET tone very warm", StatementKind.SET, "tone", "very warm", False),
        ("PREPARE s1 WRITE q2c", StatementKind.PREPARE, "s1", "q2c", True),
        ("EXECUTE s1 1a4 x", StatementKind.EXECUTE, "s1", "1a4 x", False),
        ("DEALLOC s1", StatementKind.DEALLOCATE, "s1", "", False),
        ("COMMIT", StatementKind.COMMIT, "", "", False),
        ("ROLLBACK", StatementKind.ROLLBACK, "", "", False),
        ("BEGIN", StatementKind.BEGIN, "", "", False),
    ],
)
def test_statements_are_decoded(text, kind, name, argument, is_write):
    statement = codec.decode_statement(codec.Query("q1", text))
    assert_that(statement.kind, Is(kind))
    assert_that(statement.text, Equals(text))
    assert_that(statement.name, Equals(name))
    assert_that(statement.argument, Equals(argument))
    assert_that(statement.is_write, Is(is_write))
    assert_that(statement.is_read_only, Is(False))


def test_begin_read_is_a_read_only_transaction():
    statement = codec.decode_statement(codec.Query("q1", "BEGIN READ"))
    assert_that(statement.is_read_only, Is(True))


def test_answer_of_a_database_is_forwarded_unchanged():
    decoder = codec.ReplyDecoder()
    assert_that(decoder.feed("ROW a b  c"), Is(None))
    assert_that(decoder.feed("COMPLETE 7.1f3.c"), Is(None))
    reply = decoder.feed("READY I 3.1209")
    assert_that(reply.position, Equals(LogPosition(3, 1209)))
    expected = b"ROW a b  c\r\nCOMPLETE 7.1f3.c\r\nREADY I -\r\n"
    assert_that(codec.encode_reply(reply), Equals(expected))


def test_min_position_precedes_the_unchanged_text():
    data = codec.encode_query("q1", "READ 1a4", LogPosition(3, 12))
    assert_that(data, Equals(b"QUERY q1 SINCE 3.12 READ 1a4\r\n"))


def test_status_row_is_decoded():
    report = codec.decode_report("replica 3 3.1209 0 12 2 17")
    assert_that(report.role, Is(Role.REPLICA))
    assert_that(report.received, Equals(LogPosition(3, 1209)))
    assert_that(report.lag_ms, Equals(12))


# Result codes after which the statement may have taken effect.
UNKNOWN_OUTCOME_CODES = {
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_INTERRUPTED,
    ResultCode.ENDPOINT_TIMEOUT,
    ResultCode.ENDPOINT_REFUSED,
    ResultCode.ENDPOINT_MALFORMED,
    ResultCode.INTERNAL,
}


@pytest.mark.parametrize(
    "code", sorted(UNKNOWN_OUTCOME_CODES, key=lambda code: code.number)
)
def test_code_with_unknown_outcome_promises_no_rollback(code):
    word = codec.encode_error(code, "").split(b" ")[1].decode()
    assert_that(word in NOT_EXECUTED_CODES, Is(False))


def test_error_has_its_number_and_retry_delay_on_one_line():
    reply = Reply(
        error=ResultCode.NO_PRIMARY,
        detail="no\r\nleader; retry after 500 ms",
        state=TransactionState.IDLE,
    )
    data = codec.encode_reply(reply).decode()
    assert_that(data, StartsWith("ERROR BUSY GP201 no leader; retry after 500 ms\r\n"))
    assert_that(data.count("\r\n"), Equals(2))


# Names that came from lines stand for their bytes, one character each; the database
# would be sent other bytes than those that name it. An organisation's name is text.
def test_connect_encodes_only_the_organisation_as_utf8():
    sent = codec.encode_connect("s\u00e9", "d\u00e9", "\u00e9t\u00e9")
    assert_that(sent, Equals(b"CONNECT s\xe9 \xc3\xa9t\xc3\xa9 d\xe9\r\n"))
    assert_that(
        codec.encode_connect("s", "d"), Equals(b"CONNECT s goldcrestpond d\r\n")
    )
