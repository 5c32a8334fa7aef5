"""Lends a link for one statement or transaction (shell)."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..relay.switched_pool import SwitchedPool
from .apply_session_values import apply_session_values
from .link import Link
from .route import ReadPolicy, Route
from .served_database import ServedDatabase
from .session_state import SessionState

_QUEUE_REFUSALS = (ResultCode.OVERLOADED, ResultCode.QUEUE_DEADLINE)
# One that is late already, for want of a leader say, waits for this part of its
# objective: behind a new leader whoever waited for it comes at once.
LATE_QUEUE_PART = 0.25
ROLLBACK_LIMIT_S = 1.0  # a rollback is one round trip without work


def lane_of(route: Route) -> Lane:
    """Return the lane of a route's work."""
    return Lane.AGED if route.policy is ReadPolicy.BOUNDED else Lane.SHORT


def queue_limit(
    route: Route, arrived_at: timedelta, deadline: timedelta, now: timedelta
) -> timedelta:
    """Return until when a statement may wait for a connection.

    Under lasting overload a queue that is as long as the statements' deadlines lets
    all of them be late; one as long as their objectives lets most be on time.

    Parameters
    ----------
    route : Route
        Its route.
    arrived_at : timedelta
        When the statement arrived.
    deadline : timedelta
        When its time is over.
    now : timedelta
        Present reading.
    """
    on_time = arrived_at + route.objective
    late = now + route.objective * LATE_QUEUE_PART
    return min(deadline, max(on_time, late))


async def lend(
    served: ServedDatabase,
    session: SessionState,
    key: str,
    route: Route,
    arrived_at: timedelta,
    deadline: timedelta,
    clock: Clock,
) -> Link:
    """Acquire a link of a database and bring it in line with a session.

    Raises
    ------
    CodedError
        A code that says that nothing was run.
    """
    asked_at = clock.now()
    limit = queue_limit(route, arrived_at, deadline, asked_at)
    try:
        link = await served.pool.acquire(0, limit, key, lane_of(route), route.priority)
    except CodedError as error:
        now = clock.now()
        if error.code is ResultCode.ENDPOINT_UNREACHABLE:
            served.health.record_failure(now)
        if error.code in _QUEUE_REFUSALS:
            # What it would have taken; nothing else shows a holder's queue.
            retry_after = timedelta(milliseconds=error.retry_after_ms)
            served.latency.observe(now - asked_at + retry_after, now)
        raise
    try:
        with anyio.fail_after((deadline - clock.now()).total_seconds()):
            await apply_session_values(link, session)
    except (CodedError, TimeoutError) as error:
        link.is_broken = True
        served.pool.release(link)
        served.health.record_failure(clock.now())
        detail = f"{served.database_id}: {error}"
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error
    except BaseException:
        link.is_broken = True
        served.pool.release(link)
        raise
    return link


async def return_link(pool: SwitchedPool, link: Link, is_open: bool) -> None:
    """Return a link; what is open on it is rolled back first."""
    if is_open and not link.is_broken:
        try:
            with anyio.fail_after(ROLLBACK_LIMIT_S):
                await link.rollback()
        except (CodedError, TimeoutError):
            link.is_broken = True  # closing rolls back as well
    pool.release(link)
