"""Runs one statement on a link that was checked out of its pool."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..group.log_position import LogPosition
from .apply_session_values import apply_session_values, prepare_statement
from .link import Link
from .reply import Reply
from .session_state import SessionState
from .statement import Statement


async def run_on_link(
    link: Link,
    session: SessionState,
    statement: Statement,
    min_position: LogPosition | None,
    deadline: timedelta,
    clock: Clock,
) -> Reply:
    """Run a statement and return the database's reply, which may be an error.

    If the database does not know a prepared statement, it is prepared and run again,
    once.

    Raises
    ------
    CodedError
        ANSWER_INTERRUPTED if no complete answer arrived before the deadline; the link
        is broken then. QUEUE_DEADLINE if the deadline has passed; nothing was sent.
    """
    remaining = deadline - clock.now()
    if remaining <= timedelta(0):
        raise CodedError(
            ResultCode.QUEUE_DEADLINE, "the deadline passed before sending; not run"
        )
    try:
        with anyio.fail_after(remaining.total_seconds()):
            reply = await _run(link, session, statement, min_position)
            if reply.error is ResultCode.STATEMENT_UNKNOWN:
                link.prepared.clear()
                reply = await _run(link, session, statement, min_position)
            return reply
    except TimeoutError as error:
        link.is_broken = True
        raise CodedError(ResultCode.ANSWER_INTERRUPTED, "no answer in time") from error
    except BaseException as error:
        link.is_broken = True
        link.is_abandoned = isinstance(error, anyio.get_cancelled_exc_class())
        raise


async def _run(
    link: Link,
    session: SessionState,
    statement: Statement,
    min_position: LogPosition | None,
) -> Reply:
    await apply_session_values(link, session)
    shape = await prepare_statement(link, session, statement)
    return await link.execute(statement, shape, min_position)
