"""Callers that read long answers slowly, beside others."""

from contextlib import asynccontextmanager
from datetime import timedelta
from types import SimpleNamespace

import anyio
import pytest
from anyio.abc import SocketAttribute
from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from goldcrestpond.platform import line_codec as codec
from goldcrestpond.platform.answer_budget import AnswerBudget
from goldcrestpond.platform.caller_server import CallerServer
from goldcrestpond.serving.reply import Reply
from goldcrestpond.serving.transaction_state import TransactionState

from ..line_world import ListLog

pytestmark = pytest.mark.anyio
ROWS = 8
ROW = "x" * 1_000_000
ANSWER = b"".join(b"ROW %b\r\n" % ROW.encode() for _ in range(ROWS))
LIMIT_BYTES = 2 * len(ANSWER)


class _Session:
    """Answers each statement with the same rows."""

    transaction_state = TransactionState.IDLE
    has_unreported_abort = False
    interrupted_reply = None

    def identify(self):
        pass

    async def run(self, statement):
        return Reply(rows=[ROW] * ROWS, receipt="r")

    async def aclose(self):
        pass


@asynccontextmanager
async def _run_server():
    table = SimpleNamespace(version=1, transaction_idle_limit=timedelta(seconds=9))
    directory = SimpleNamespace(table=table)
    log = ListLog()
    server = CallerServer(directory, lambda *_: _Session(), 0, log)
    server.answer_budget = AnswerBudget(LIMIT_BYTES)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve_connection)
        port = listener.extra(SocketAttribute.local_port)
        yield server, log, port
        tasks.cancel_scope.cancel()


async def _ask(port):
    """Ask for a long answer, and don't read it."""
    caller = await anyio.connect_tcp("127.0.0.1", port)
    await caller.send(b"CONNECT d k\r\n")
    await caller.receive()
    await caller.send(b"QUERY 1 READ a\r\n")
    return caller


async def _read_answer(caller):
    """Return how many bytes of rows arrive until the answer or the connection ends."""
    data = bytearray()
    with anyio.fail_after(10):
        while not data.endswith(b"READY I -\r\n"):
            try:
                data += await caller.receive(1 << 20)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    await caller.aclose()
    return len(data[: len(ANSWER)])


# Failure: answers that callers don't read are kept without a limit, until the process
# is killed for its memory; or callers beside them pay for it.
async def test_unread_answers_have_a_common_limit():
    async with _run_server() as (server, log, port):
        slow = []
        for _ in range(4):
            slow.append(await _ask(port))
            await anyio.sleep(0.1)
            assert_that(server.answer_budget.used_bytes, LessThan(LIMIT_BYTES + 1))
        beside = await _read_answer(await _ask(port))
        assert_that(beside, Equals(len(ANSWER)))
        given_up = [f["session"] for name, f in log.lines if name == "answer not read"]
        assert_that(given_up[:2], Equals(["c1", "c2"]))
        read = [await _read_answer(caller) for caller in slow]
        assert_that(read[0], LessThan(len(ANSWER)))
        assert_that(read[3], Equals(len(ANSWER)))
        await anyio.sleep(0.1)
        assert_that(server.answer_budget.used_bytes, Equals(0))


# Failure: the answer that makes progress is given up, not the one that makes none.
def test_answer_without_progress_is_given_up_first():
    given_up = []
    reading, silent, new = (lambda n=n: given_up.append(n) for n in range(3))
    budget = AnswerBudget(100)
    budget.record_left(reading, 40)
    budget.record_left(silent, 40)
    budget.record_left(reading, 39)
    budget.record_left(new, 50)
    assert_that((given_up, budget.used_bytes), Equals(([1], 89)))
    for each in (reading, silent, new):
        budget.record_left(each, 0)
    assert_that(budget.used_bytes, Equals(0))


# Failure: an answer that is sent in parts differs from one that is sent at once.
@given(st.lists(st.text("ab", max_size=40)), st.integers(1, 50))
def test_parts_of_an_answer_are_the_whole_answer(rows, part_bytes):
    whole = codec.encode_reply(Reply(rows=list(rows), receipt="r"))
    reply = Reply(rows=list(rows), receipt="r")
    parts = list(codec.encode_reply_parts(reply, part_bytes))
    assert_that(b"".join(parts), Equals(whole))
    assert_that(reply.rows, Equals([]))
