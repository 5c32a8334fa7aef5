"""Ends an instance without cutting what runs (shell)."""

from datetime import timedelta

import anyio

from ..clock.clock import Clock
from ..platform.caller_server import CallerServer
from ..serving.decision_log import DecisionLog

# The platform asks once a second and moves on after two answers.
MOVED_ON = timedelta(milliseconds=2300)
# With a short grace period, what is left of its first half is for sessions to end
# behind an answer.
MOVED_ON_PART = 0.4
TRANSACTION_PART = 0.5  # of the grace period is left to open transactions
LAST_PART = 0.85  # of the grace period, after which the process ends
_TICK_S = 0.02


async def shut_down(
    callers: CallerServer, grace_s: float, clock: Clock, log: DecisionLog
) -> None:
    """Serve until the platform has moved on, then end session by session.

    Parameters
    ----------
    callers : CallerServer
        The sessions.
    grace_s : float
        Time until the process is killed.
    clock : Clock
        Source of readings.
    log : DecisionLog
        Told how it ended.
    """
    began_at = clock.now()
    grace = timedelta(seconds=grace_s)
    moved_on = min(MOVED_ON, grace * MOVED_ON_PART)
    while clock.now() - began_at < moved_on:
        await anyio.sleep(_TICK_S)
    callers.close_after_answers()
    while callers.caller_count and clock.now() - began_at < grace * TRANSACTION_PART:
        await anyio.sleep(_TICK_S)
    await callers.abort_transactions()
    while callers.caller_count and clock.now() - began_at < grace * LAST_PART:
        callers.close_idle_sessions()
        await anyio.sleep(_TICK_S)
    log.decision("sessions ended", left=callers.caller_count)
