"""Running one statement on a link."""

from types import SimpleNamespace

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from goldcrestpond.clock.system_clock import SystemClock
from goldcrestpond.errors.coded_error import CodedError
from goldcrestpond.errors.result_code import ResultCode
from goldcrestpond.serving.run_on_link import run_on_link
from goldcrestpond.serving.session_state import SessionState
from goldcrestpond.serving.statement import Statement
from goldcrestpond.serving.statement_kind import StatementKind

from .test_leadership import ms


async def _run(execute, timeout):
    link = SimpleNamespace(
        execute=execute, values={}, prepared={}, is_broken=False, is_abandoned=False
    )
    statement = Statement("q1", StatementKind.READ, "READ a")
    clock = SystemClock()
    deadline = clock.now() + timeout
    with anyio.move_on_after(0.05):
        with pytest.raises(CodedError) as raised:
            await run_on_link(link, SessionState(), statement, None, deadline, clock)
        assert_that(raised.value.code, Equals(ResultCode.ANSWER_INTERRUPTED))
    return link.is_broken, link.is_abandoned


async def _never(statement, shape, min_position):
    await anyio.sleep_forever()


async def _lose(statement, shape, min_position):
    raise CodedError(ResultCode.ANSWER_INTERRUPTED, "connection lost")


# Guards against: callers who leave look like failures of the database, or a database
# that does not answer looks like callers who left.
@pytest.mark.anyio
@pytest.mark.parametrize(
    ("execute", "timeout", "is_abandoned"),
    [(_never, ms(5000), True), (_never, ms(5), False), (_lose, ms(5000), False)],
    ids=["cancelled", "timed out", "lost"],
)
async def test_only_a_cancelled_statement_is_abandoned(execute, timeout, is_abandoned):
    assert_that(await _run(execute, timeout), Equals((True, is_abandoned)))
