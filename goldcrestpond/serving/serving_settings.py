"""Settings of the serving core."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class ServingSettings:
    """Identity of this instance, and time limits that do not depend on a route.

    Attributes
    ----------
    instance : str
        Name of this instance.
    availability_zone : str
        Availability zone of this instance.
    connect_timeout : timedelta
        Time limit for opening a connection; several times what this usually
        takes.
    leader_check_timeout : timedelta
        Time limit of one leader check, which is a round trip without work.
    sample_interval : timedelta
        While reads with a maximum age run, the leader's position is sampled at this
        interval, so that their minimum positions are old enough for replicas to have
        reached them.
    drain_limit : timedelta
        Time for which a draining database may still get new work.
    proof_limit : timedelta or None
        Age from which on the configuration and the members prove nothing about
        organisations; None if their age is not limited.
    is_paced : bool
        Whether the operations in flight at a database that has just started or
        recovered are paced.
    """

    instance: str
    availability_zone: str
    connect_timeout: timedelta = timedelta(milliseconds=600)
    leader_check_timeout: timedelta = timedelta(milliseconds=250)
    sample_interval: timedelta = timedelta(milliseconds=300)
    drain_limit: timedelta = timedelta(seconds=7)
    proof_limit: timedelta | None = None
    is_paced: bool = True
