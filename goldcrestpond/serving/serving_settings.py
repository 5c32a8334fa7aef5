"""Limits of the serving core."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class ServingSettings:
    """Time limits that do not depend on a route.

    Attributes
    ----------
    instance : str
        Name of this instance.
    availability_zone : str
        Its availability zone.
    connect_timeout : timedelta
        Limit of opening a connection; several times what an endpoint takes.
    leader_check_timeout : timedelta
        Limit of one proof, which is a round trip without work.
    sample_interval : timedelta
        While bounded reads run, a new sample is taken after this time, so that
        their floors are old enough for replicas to have them.
    drain_limit : timedelta
        Time after which a leaving database must get no new work.
    """

    instance: str
    availability_zone: str
    connect_timeout: timedelta = timedelta(milliseconds=600)
    leader_check_timeout: timedelta = timedelta(milliseconds=250)
    sample_interval: timedelta = timedelta(milliseconds=300)
    drain_limit: timedelta = timedelta(seconds=7)
