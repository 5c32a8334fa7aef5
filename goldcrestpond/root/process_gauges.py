"""Reports the state of a process to statsd from time to time."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from ..wire.session_metrics import StatsClient

REPORT_PAUSE_S = 5.0  # an alarm on a gauge sees a fault within two reports


@dataclass(frozen=True, slots=True)
class Gauge:
    """A number that is read when it is reported.

    Attributes
    ----------
    name : str
        Name in statsd, after the prefix of the process.
    read : callable
        Returns the number.
    """

    name: str
    read: Callable[[], float]


async def report_gauges(stats: StatsClient, gauges: list[Gauge]) -> None:
    """Report all gauges again and again until cancelled.

    Parameters
    ----------
    stats : StatsClient
        Where they go.
    gauges : list of Gauge
        Numbers of the whole process; a number for each group would grow with
        the fleet.
    """
    while True:
        for gauge in gauges:
            stats.gauge(gauge.name, gauge.read())
        await anyio.sleep(REPORT_PAUSE_S)
