"""Checks a link out of a pool for one statement or transaction, and returns it."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..errors.coded_error import CodedError
from ..errors.result_code import ResultCode
from ..pool.lane import Lane
from ..pool.requester import Requester
from ..relay.switched_pool import SwitchedPool
from .apply_session_values import apply_session_values
from .link import Link
from .route import ReadPolicy, Route
from .served_database import ServedDatabase
from .session_state import SessionState
from .stage_times import CHECKOUT, SESSION, StageTimes

_QUEUE_REFUSALS = (ResultCode.OVERLOADED, ResultCode.QUEUE_DEADLINE)
_DATABASE_FAILURES = (ResultCode.ENDPOINT_UNREACHABLE, ResultCode.ENDPOINT_LEAVING)
# A statement that is already past its objective, for example because there was no
# leader, may still wait for this fraction of it: when a new leader is found, all
# statements that waited for it arrive at once.
LATE_QUEUE_FRACTION = 0.25
ROLLBACK_TIMEOUT_S = 1.0  # a rollback is one round trip without work


def choose_lane(route: Route) -> Lane:
    """Return the lane in which the statements of a route are queued."""
    return Lane.AGED if route.policy is ReadPolicy.BOUNDED else Lane.SHORT


def compute_queue_deadline(
    route: Route, arrived_at: timedelta, deadline: timedelta, now: timedelta
) -> timedelta:
    """Return the time until which a statement may wait for a connection.

    Under lasting overload, a queue bounded only by the deadlines makes nearly all
    statements miss their latency objective; a queue bounded by the objectives lets most
    of them meet it.

    Parameters
    ----------
    route : Route
        Route of the statement.
    arrived_at : timedelta
        When the statement arrived.
    deadline : timedelta
        Time at which the statement times out.
    now : timedelta
        Current time.
    """
    objective_end = arrived_at + route.objective
    late_end = now + route.objective * LATE_QUEUE_FRACTION
    return min(deadline, max(objective_end, late_end))


async def check_out_link(
    served: ServedDatabase,
    session: SessionState,
    requester: Requester,
    route: Route,
    arrived_at: timedelta,
    deadline: timedelta,
    clock: Clock,
    stages: StageTimes,
) -> Link:
    """Acquire a link to a database and set a session's values on it.

    Raises
    ------
    CodedError
        With a code that says that nothing was run.
    """
    asked_at = clock.now()
    acquire_by = compute_queue_deadline(route, arrived_at, deadline, asked_at)
    try:
        with stages.measure(CHECKOUT):
            link = await served.pool.acquire(
                0, acquire_by, requester, choose_lane(route), route.priority
            )
    except CodedError as error:
        now = clock.now()
        if error.code in _DATABASE_FAILURES:
            served.health.record_failure(now)
        # The time that the wait would have taken: nothing else shows how long the queue
        # of a holder is.
        wait = now - asked_at + timedelta(milliseconds=error.retry_after_ms)
        if error.code in _QUEUE_REFUSALS:
            served.latency.observe_refusal(wait, now)
        elif error.code is ResultCode.ENDPOINT_BUSY:
            served.latency.observe_paced(wait, now)
        raise
    try:
        with anyio.fail_after((deadline - clock.now()).total_seconds()):
            with stages.measure(SESSION):
                await apply_session_values(link, session)
    except (CodedError, TimeoutError) as error:
        link.is_broken = True
        served.pool.release(link)
        served.health.record_failure(clock.now())
        detail = f"{served.database_id}: {error}"
        raise CodedError(ResultCode.ENDPOINT_UNREACHABLE, detail) from error
    except BaseException as error:
        link.is_broken = True
        link.is_abandoned = isinstance(error, anyio.get_cancelled_exc_class())
        served.pool.release(link)
        raise
    return link


async def return_link(
    pool: SwitchedPool, link: Link, has_open_transaction: bool
) -> None:
    """Return a link to its pool; roll back an open transaction first."""
    if has_open_transaction and not link.is_broken:
        try:
            with anyio.fail_after(ROLLBACK_TIMEOUT_S):
                await link.rollback()
        except (CodedError, TimeoutError):
            link.is_broken = True  # closing the connection rolls back too
        except BaseException as error:
            link.is_broken = True
            link.is_abandoned = isinstance(error, anyio.get_cancelled_exc_class())
            pool.release(link)
            raise
    pool.release(link)
