"""Limits on the memory for messages, session values and error texts of callers."""

import anyio
import hypothesis.strategies as st
import pytest
from hypothesis import given
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, StartsWith

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import DETAIL_LIMIT_CHARACTERS, CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.platform.line_buffer import FREE_BYTES, LineBuffer
from goldcrestpond.platform.receive_budget import ReceiveBudget
from goldcrestpond.root.structured_log import TEXT_LIMIT_CHARACTERS, StructuredLog
from goldcrestpond.serving.session_state import MAX_SESSION_VALUES

from ..line_world import LineCaller, run_in_world

MESSAGE_BYTES = 1 << 19
BUDGET_BYTES = 4 << 20
CALLER_COUNT = 40  # their messages add up to five times the budget


@given(st.lists(st.binary(max_size=40000).map(lambda b: b.replace(b"\n", b""))))
def test_budget_counts_buffered_bytes_and_is_released_on_close(pieces):
    budget = ReceiveBudget()
    buffer = LineBuffer(budget)
    for piece in pieces:
        buffer.feed(piece)
        buffer.feed(b"\r\n")
        while buffer.next_line() is not None:
            pass
    buffer.feed(b"x" * (FREE_BYTES + 10))
    assert_that(budget.used_bytes, Equals(10))
    buffer.close()
    assert_that(budget.used_bytes, Equals(0))


def test_line_counts_as_buffered_until_the_next_one_is_requested():
    budget = ReceiveBudget()
    buffer = LineBuffer(budget)
    buffer.feed(b"x" * (2 * FREE_BYTES) + b"\r\n")
    buffer.next_line()
    assert_that(budget.used_bytes, Equals(FREE_BYTES))
    buffer.next_line()
    assert_that(budget.used_bytes, Equals(0))


def test_bytes_beyond_the_budget_are_refused():
    budget = ReceiveBudget(limit_bytes=100)
    LineBuffer(budget).feed(b"x" * (FREE_BYTES + 100))
    with pytest.raises(CodedError) as caught:
        LineBuffer(budget).feed(b"x" * (FREE_BYTES + 1))
    assert_that(caught.value.code, Equals(ResultCode.OVERLOADED))
    assert_that(caught.value.retry_after_ms > 0, Equals(True))


# Guards against: many callers send large unfinished messages until the process runs out
# of memory and is killed, which ends all sessions.
def test_unfinished_messages_of_many_callers_leave_others_served():
    async def body(world):
        instance = world.instances[0]
        budget = instance.callers.budget
        budget.limit_bytes = BUDGET_BYTES
        async with world.caller("own") as caller:
            others = []
            for _ in range(CALLER_COUNT):
                stream = await anyio.connect_tcp(*instance.caller_address)
                others.append(LineCaller(stream))
                try:
                    await others[-1].connect("own")
                    await others[-1].send(b"x" * MESSAGE_BYTES)
                except (anyio.BrokenResourceError, anyio.EndOfStream):
                    pass  # the instance closed the connection
                answer = await caller.ask("WRITE a 1")
                assert_that(answer[0], StartsWith("COMPLETE r"))
                assert_that(budget.used_bytes, LessThan(BUDGET_BYTES + 1))
            for other in others:
                await other.aclose()
        await anyio.sleep(0.2)
        assert_that(budget.used_bytes, Equals(0))

    run_in_world(body)


# Guards against: a session sets an unlimited number of values, all of which are set
# again on each connection that it checks out.
def test_session_with_too_many_values_gets_an_error_and_continues():
    async def body(world):
        async with world.caller("own") as caller:
            for number in range(MAX_SESSION_VALUES):
                answer = await caller.ask(f"SET v{number} 1")
                assert_that(answer[0], Equals("COMPLETE -"))
            answer = await caller.ask("SET more 1")
            assert_that(answer[0], StartsWith("ERROR TOOBIG GP117"))
            assert_that((await caller.ask("READ a"))[-1], Equals("READY I -"))

    run_in_world(body)


# Guards against: each error writes an id or name of up to 1 MiB to the log and sends
# it back to the caller.
def test_long_names_are_truncated_in_errors():
    async def body(world):
        async with world.caller("own") as caller:
            answer = await caller.ask("EXECUTE " + "x" * MESSAGE_BYTES)
            assert_that(answer[0], StartsWith("ERROR NOSTMT GP116 xxx"))
            assert_that(len(answer[0]), LessThan(2 * DETAIL_LIMIT_CHARACTERS))

    run_in_world(body)


def test_long_texts_are_truncated_in_log_lines(capfd):
    log = StructuredLog("i1", SystemClock())
    log.decision("statement failed", request="q" * MESSAGE_BYTES, elapsed_ms=3)
    line = capfd.readouterr().out
    assert_that(line, Contains('"elapsed_ms":3'))
    assert_that(len(line), LessThan(2 * TEXT_LIMIT_CHARACTERS))
