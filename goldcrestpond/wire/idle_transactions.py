"""Ends sessions whose callers leave a transaction open and idle."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import anyio

from ..clock.clock import Clock
from .caller_session import CallerSession

_CHECK_INTERVAL_S = 1.0  # short compared with the usual limit of idle time


async def end_idle_transactions(
    sessions: Callable[[], Iterable[CallerSession]],
    end_session: Callable[[CallerSession], None],
    limit: timedelta,
    clock: Clock,
) -> None:
    """End each session whose transaction has been idle for longer than a limit.

    Runs until cancelled.

    Parameters
    ----------
    sessions : callable
        Returns the sessions of the process.
    end_session : callable
        Ends a session; its transaction is rolled back.
    limit : timedelta
        Longest time that a transaction may wait for the next request.
    clock : Clock
        Monotonic clock.
    """
    while True:
        await anyio.sleep(_CHECK_INTERVAL_S)
        cutoff = clock.now() - limit
        for session in list(sessions()):
            since = session.waiting_since
            if since is not None and since < cutoff and session.holds_transaction:
                end_session(session)
