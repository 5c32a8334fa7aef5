"""When a home that does not answer is marked absent, and for how long."""

from datetime import timedelta

# A home is marked after its probes have failed for this time. While it is marked, its
# organisations have another home, whose share of their rates begins only later; a short
# stall is better borne by the standby. A member that is lost without a word otherwise
# stays a home for several times as long.
ABSENT_AFTER = timedelta(seconds=2)
# Those that are not its standby mark it after this time: the standby may be lost too.
ABSENT_AFTER_WITHOUT_STANDBY = 2 * ABSENT_AFTER
# A mark stays for at least this time, so that homes don't change too often.
ABSENT_MIN = timedelta(seconds=4)


def should_mark(silence: timedelta | None, is_standby: bool) -> bool:
    """Return whether to mark a home as absent.

    Parameters
    ----------
    silence : timedelta or None
        For how long it has answered no probe; None if it answers.
    is_standby : bool
        Whether this instance is the standby of one of its organisations.
    """
    limit = ABSENT_AFTER if is_standby else ABSENT_AFTER_WITHOUT_STANDBY
    return silence is not None and silence >= limit


def may_clear(marked_at: timedelta | None, now: timedelta) -> bool:
    """Return whether an instance that reads its own mark may remove it.

    Parameters
    ----------
    marked_at : timedelta or None
        When it first read the mark; None if there is none.
    now : timedelta
        Current time.
    """
    return marked_at is not None and now - marked_at >= ABSENT_MIN
