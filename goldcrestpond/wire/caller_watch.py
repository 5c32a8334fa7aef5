"""Ends what callers have left behind."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .caller_session import CallerSession

WATCH_PAUSE_S = 1.0  # well below the time that a forgotten transaction may hold


async def watch_waiting_transactions(
    sessions: Callable[[], Iterable[CallerSession]],
    end_session: Callable[[CallerSession], None],
    limit: timedelta,
    clock: Clock,
) -> None:
    """End sessions whose open transaction waits too long for its caller.

    Parameters
    ----------
    sessions : callable
        Returns the sessions of the process.
    end_session : callable
        Ends one; its transaction is rolled back.
    limit : timedelta
        Longest wait.
    clock : Clock
        Source of monotonic readings.
    """
    while True:
        await anyio.sleep(WATCH_PAUSE_S)
        latest = clock.now() - limit
        for session in list(sessions()):
            since = session.waiting_since
            if since is not None and since < latest and session.holds_transaction:
                end_session(session)
