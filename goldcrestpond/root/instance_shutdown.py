"""Shuts an instance down: what it has begun is answered before it ends."""

from datetime import timedelta
from typing import Protocol

import anyio

from ..clock.clock import Clock
from ..overload.admission import Admission
from ..platform.caller_server import CallerServer
from ..serving.decision_log import DecisionLog
from ..serving.leader_monitor import LeaderMonitor

# Time until the platform sends no new callers: it probes once a second and needs two
# answers that the instance is not ready.
NOT_READY_NOTICE = timedelta(milliseconds=2300)
# Upper limit of the notice as a fraction of the grace period: with a short period,
# the rest of its first half is left for sessions to close after an answer.
NOT_READY_NOTICE_FRACTION = 0.4
# After this fraction of the grace period transactions are rolled back, and nothing new
# is sent to a database, since there may be no time left to answer it.
TRANSACTION_FRACTION = 0.5
# After this fraction of the grace period no answer of a database is waited for.
CLOSE_FRACTION = 0.85
# After this fraction of the grace period the process ends.
END_FRACTION = 0.95
_TICK_INTERVAL_S = 0.02


class RelayedWork(Protocol):
    """Work of this instance for other instances."""

    @property
    def has_work(self) -> bool:
        """Whether connections are lent, or statements run."""

    async def end_transactions(self) -> None:
        """Roll transactions back, those with a running statement after its answer."""


async def shut_down(
    callers: CallerServer,
    relayed: RelayedWork,
    admission: Admission,
    leader_monitor: LeaderMonitor,
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
    relayed : RelayedWork
        Work for the callers of other instances.
    admission : Admission
        Admits statements of both.
    leader_monitor : LeaderMonitor
        Replaces leaders; what it has begun is left to no other instance.
    grace_s : float
        Time in seconds after which the platform kills the process.
    clock : Clock
        Source of monotonic time.
    log : DecisionLog
        Receives how many sessions were left open.
    """
    started_at = clock.now()
    grace = timedelta(seconds=grace_s)

    def is_before(end: timedelta) -> bool:
        return clock.now() - started_at < end

    def has_work() -> bool:
        return bool(callers.caller_count) or relayed.has_work

    notice = min(NOT_READY_NOTICE, grace * NOT_READY_NOTICE_FRACTION)
    while is_before(notice):
        await anyio.sleep(_TICK_INTERVAL_S)
    callers.close_after_answers()
    while has_work() and is_before(grace * TRANSACTION_FRACTION):
        await anyio.sleep(_TICK_INTERVAL_S)
    admission.is_stopped = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(callers.end_transactions)
        tasks.start_soon(relayed.end_transactions)
    leader_monitor.is_stopping = True
    while (has_work() or leader_monitor.is_replacing) and is_before(
        grace * CLOSE_FRACTION
    ):
        callers.close_idle_sessions()
        await anyio.sleep(_TICK_INTERVAL_S)
    log.decision(
        "sessions ended", left=callers.caller_count, has_relayed_work=relayed.has_work
    )
    callers.interrupt_statements()
    while callers.caller_count and is_before(grace * END_FRACTION):
        await anyio.sleep(_TICK_INTERVAL_S)
