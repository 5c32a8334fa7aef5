"""Reports gauges of a process to statsd at a fixed interval."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..wire.session_metrics import StatsClient

REPORT_INTERVAL_S = 5.0  # an alarm on a gauge detects a fault within two reports


@dataclass(frozen=True, slots=True)
class Gauge:
    """A named number that is read at each report.

    Attributes
    ----------
    name : str
        Name in statsd, after the prefix of the process.
    read : callable
        Returns the present value.
    """

    name: str
    read: Callable[[], float]


async def report_gauges(stats: StatsClient, gauges: list[Gauge]) -> None:
    """Report all gauges repeatedly until cancelled.

    Parameters
    ----------
    stats : StatsClient
        Client that sends them.
    gauges : list of Gauge
        Numbers of the whole process; one for each group would make the number of
        metrics grow with the fleet.
    """
    while True:
        for gauge in gauges:
            stats.gauge(gauge.name, gauge.read())
        await anyio.sleep(REPORT_INTERVAL_S)
