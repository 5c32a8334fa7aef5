"""Periods and limits of the spread of configuration."""

from datetime import timedelta

import msgspec


def _ms(value: int) -> timedelta:
    return timedelta(milliseconds=value)


class DistributionSettings(msgspec.Struct, frozen=True):
    """Periods and limits; all instances of a fleet use the same.

    Attributes
    ----------
    notice_fanout : int
        Members told at once of a revision that is new here.
    notice_period : timedelta
        Pause between notices to one random member, which find whoever missed
        the first ones.
    request_timeout : timedelta
        When an unanswered request for an update is sent to another member.
    report_interval : timedelta
        Shortest pause between reports to the parent in the tree.
    report_interval_per_child : timedelta
        What each child adds to that pause, so that an instance with many
        children has no more work than others.
    claim_interval : timedelta
        Shortest pause between claims of the root.
    report_sends : int
        How often a changed report is sent, as datagrams get lost.
    report_period : timedelta
        Longest pause between reports to the parent in the tree.
    report_lifetime : timedelta
        How long a child's report counts.
    claim_lifetime : timedelta
        How long what is in force may be told after it was worked out.
    datagram_limit_bytes : int
        Larger updates are fetched over a stream.
    """

    notice_fanout: int = 4
    notice_period: timedelta = _ms(500)
    request_timeout: timedelta = _ms(300)
    report_interval: timedelta = _ms(150)
    report_interval_per_child: timedelta = _ms(25)
    claim_interval: timedelta = _ms(800)
    report_sends: int = 3
    report_period: timedelta = _ms(4000)
    report_lifetime: timedelta = _ms(13_000)
    claim_lifetime: timedelta = _ms(15_000)
    datagram_limit_bytes: int = 1000
