"""What the work of one instance asks of a database."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """Present use and demand of one instance.

    Attributes
    ----------
    in_use : int
        Connections that are open or being closed.
    connection_demand : int
        Connections that the present work could use.
    reports_running : int
        Reports that run.
    report_demand : int
        Reports that run or wait.
    """

    in_use: int
    connection_demand: int
    reports_running: int = 0
    report_demand: int = 0
