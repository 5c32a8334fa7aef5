"""Settings of the pool of one database."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits and deadlines of one pool; the defaults suit a small database.

    Attributes
    ----------
    slot_limit : int
        Statements that this instance may run at once.
    report_slot_limit : int
        How many of them may be reports.
    connection_limit : int
        Connections that this instance may hold until a share is granted.
    idle_check : timedelta
        An idle connection that was quiet for longer is checked before use.
    check_deadline : timedelta
        A checked connection that has not answered by then is condemned.
    doubt_after : timedelta
        Once a busy connection was quiet for longer, idle ones that were last
        heard before are checked before use.
    progress_deadline : timedelta
        A busy connection that was quiet for longer is probed.
    silence_limit : timedelta
        A busy connection that was quiet for longer is condemned, if a probe
        was answered but cannot tell whether the statement still runs.
    idle_timeout : timedelta
        An idle connection that was not used for longer is closed.
    open_backoff : timedelta
        Pause after an open that failed, before the next one.
    probe_reserve : int
        Connections kept back for probes.
    limit_growth_interval : timedelta
        After a refusal for too many connections, the lowered estimate rises
        by one connection per this time.
    """

    slot_limit: int = 5
    report_slot_limit: int = 1
    connection_limit: int = 4
    idle_check: timedelta = timedelta(milliseconds=500)
    check_deadline: timedelta = timedelta(milliseconds=200)
    doubt_after: timedelta = timedelta(milliseconds=100)
    progress_deadline: timedelta = timedelta(milliseconds=500)
    silence_limit: timedelta = timedelta(seconds=30)
    idle_timeout: timedelta = timedelta(seconds=60)
    open_backoff: timedelta = timedelta(milliseconds=100)
    probe_reserve: int = 1
    limit_growth_interval: timedelta = timedelta(seconds=5)
