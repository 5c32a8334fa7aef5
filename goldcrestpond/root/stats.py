"""Makes the statsd client of a process."""

import statsd

from ..settings.address import parse_address
from ..wire.session_metrics import StatsClient


class NoStats:
    """Takes metrics and drops them."""

    __slots__ = ()

    def incr(self, stat: str, count: int = 1, rate: float = 1) -> None:
        """Drop a count."""

    def timing(self, stat: str, delta: float, rate: float = 1) -> None:
        """Drop a duration."""

    def gauge(self, stat: str, value: float, rate: float = 1) -> None:
        """Drop a value."""


def make_stats(address_text: str, instance: str) -> StatsClient:
    """Return a client for ``IP:PORT``, or one that drops all for an empty text."""
    if not address_text:
        return NoStats()
    address = parse_address(address_text)
    prefix = "goldcrestpond." + instance.replace(".", "_")
    return statsd.StatsClient(address.host, address.port, prefix=prefix)
