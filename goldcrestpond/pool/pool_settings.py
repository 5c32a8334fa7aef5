"""Settings of a database's connection pool."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits and timeouts of the pool of one database; the defaults suit a small one.

    Attributes
    ----------
    slot_limit : int
        Number of statements that this instance may run at once.
    report_slot_limit : int
        Number of them that may be reports.
    connection_limit : int
        Number of connections that this instance may open until a share is granted.
    idle_check_after : timedelta
        An idle connection without activity for longer than this is checked before
        use.
    check_timeout : timedelta
        A connection that does not answer its check within this time is closed.
    stall_threshold : timedelta
        A busy connection without activity for this time counts as stalled. Idle
        connections without activity since the last stall was noticed are checked
        before use.
    probe_threshold : timedelta
        The endpoint is probed about a busy connection without activity for this time.
    silence_timeout : timedelta
        A busy connection without activity for this time is closed, even if the
        answers to probes leave open whether its statement still runs.
    idle_timeout : timedelta
        An idle connection that was not used for this time is closed.
    open_backoff : timedelta
        Pause after a connection could not be opened, before the next attempt.
    probe_reserve : int
        Number of connections that are kept free for probes.
    limit_growth_interval : timedelta
        After the endpoint refused a connection, the lowered connection limit rises by
        one per this time.
    """

    slot_limit: int = 5
    report_slot_limit: int = 1
    connection_limit: int = 4
    idle_check_after: timedelta = timedelta(milliseconds=500)
    check_timeout: timedelta = timedelta(milliseconds=200)
    stall_threshold: timedelta = timedelta(milliseconds=100)
    probe_threshold: timedelta = timedelta(milliseconds=500)
    silence_timeout: timedelta = timedelta(seconds=30)
    idle_timeout: timedelta = timedelta(seconds=60)
    open_backoff: timedelta = timedelta(milliseconds=100)
    probe_reserve: int = 1
    limit_growth_interval: timedelta = timedelta(seconds=5)
