"""Shuts an instance down without interrupting running statements."""

from collections.abc import Callable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..platform.caller_server import CallerServer
from ..serving.decision_log import DecisionLog

# Time until the platform sends no new callers: it probes once a second and needs two
# answers that the instance is not ready.
NOT_READY_NOTICE = timedelta(milliseconds=2300)
# Upper limit of the notice as a fraction of the grace period: with a short period,
# the rest of its first half is left for sessions to close after an answer.
NOT_READY_NOTICE_FRACTION = 0.4
# After this fraction of the grace period open transactions are aborted.
TRANSACTION_FRACTION = 0.5
# After this fraction of the grace period the process ends.
CLOSE_FRACTION = 0.85
_TICK_INTERVAL_S = 0.02


async def shut_down(
    callers: CallerServer,
    has_relayed_work: Callable[[], bool],
    grace_s: float,
    clock: Clock,
    log: DecisionLog,
) -> None:
    """Serve until the platform sends no new callers, then close the sessions.

    Each session closes after an answer, when no request is in flight. Transactions of
    other instances' callers have as long as those of its own.

    Parameters
    ----------
    callers : CallerServer
        Server of the callers' sessions.
    has_relayed_work : callable
        Returns whether connections are lent, or statements run, for other instances.
    grace_s : float
        Time in seconds after which the platform kills the process.
    clock : Clock
        Source of monotonic time.
    log : DecisionLog
        Receives how many sessions were left open.
    """
    started_at = clock.now()
    grace = timedelta(seconds=grace_s)
    notice = min(NOT_READY_NOTICE, grace * NOT_READY_NOTICE_FRACTION)
    while clock.now() - started_at < notice:
        await anyio.sleep(_TICK_INTERVAL_S)
    callers.close_after_answers()
    while (
        callers.caller_count or has_relayed_work()
    ) and clock.now() - started_at < grace * TRANSACTION_FRACTION:
        await anyio.sleep(_TICK_INTERVAL_S)
    await callers.abort_transactions()
    while callers.caller_count and clock.now() - started_at < grace * CLOSE_FRACTION:
        callers.close_idle_sessions()
        await anyio.sleep(_TICK_INTERVAL_S)
    log.decision("sessions ended", left=callers.caller_count)
