"""Creates the statsd client of a process."""

import statsd

from ..settings.address import parse_address
from ..wire.session_metrics import StatsClient


class NoStats:
    """A statsd client that discards all metrics."""

    __slots__ = ()

    def incr(self, stat: str, count: int = 1, rate: float = 1) -> None:
        """Discard a count."""

    def timing(self, stat: str, delta: float, rate: float = 1) -> None:
        """Discard a duration."""

    def gauge(self, stat: str, value: float, rate: float = 1) -> None:
        """Discard a value."""


def make_stats(address_text: str, instance: str) -> StatsClient:
    """Return a client for ``IP:PORT``; for an empty text, one that discards all."""
    if not address_text:
        return NoStats()
    address = parse_address(address_text)
    prefix = "goldcrestpond." + instance.replace(".", "_")
    return statsd.StatsClient(address.host, address.port, prefix=prefix)
