"""Demand of one instance for connections and report slots of a database."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """Current use and demand of one instance.

    Attributes
    ----------
    in_use : int
        Number of connections that are open or being closed.
    connection_demand : int
        Number of connections that the current work could use.
    reports_running : int
        Number of running reports.
    report_demand : int
        Number of reports that run or wait.
    """

    in_use: int
    connection_demand: int
    reports_running: int = 0
    report_demand: int = 0
