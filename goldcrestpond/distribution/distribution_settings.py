"""Periods and limits of the distribution of the configuration."""

from datetime import timedelta

import msgspec


def _ms(value: int) -> timedelta:
    return timedelta(milliseconds=value)


class DistributionSettings(msgspec.Struct, frozen=True):
    """Periods and limits; all instances of a fleet use the same.

    Attributes
    ----------
    notice_fanout : int
        Number of members that are notified at once of a new revision.
    notice_period : timedelta
        Interval between notices to one random member. These reach members that
        missed the first notices.
    request_timeout : timedelta
        Time after which an unanswered update request is sent to another member.
    report_interval : timedelta
        Minimum interval between reports to the parent in the tree.
    report_interval_per_child : timedelta
        Added to ``report_interval`` for each child, so that an instance with
        many children has no more work than others.
    claim_interval : timedelta
        Minimum interval between claims of a root with many children.
    report_sends : int
        How many times a changed report is sent, since datagrams may be lost.
    report_period : timedelta
        Maximum interval between reports to the parent in the tree.
    report_lifetime : timedelta
        How long a child's report is counted; longer than three report periods, so
        that two reports in a row may be lost.
    claim_lifetime : timedelta
        How long a claim may be used after the root computed it; likewise longer
        than three report periods, as the root claims at least once in each.
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
