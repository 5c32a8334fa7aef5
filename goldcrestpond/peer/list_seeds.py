"""Lists addresses at which an instance looks for its peers."""

import logging
from collections.abc import Awaitable, Callable, Sequence

from ..errors.coded_error import CodedError
from ..store.platform import Platform

_logger = logging.getLogger(__name__)

# Returns ``IP:PORT`` of peers.
ListSeeds = Callable[[], Awaitable[list[str]]]


def make_seed_lister(platform: Platform, fixed: Sequence[str] = ()) -> ListSeeds:
    """Return a function that lists the addresses of possible peers.

    The function reads the platform's list of instances, which lags behind. While
    the list cannot be read, the function uses the last one that it read.

    Parameters
    ----------
    platform : Platform
        Client of the platform.
    fixed : sequence of str
        Addresses that are always listed.
    """
    listed: list[str] = []

    async def list_seeds() -> list[str]:
        nonlocal listed
        try:
            entries = await platform.instances()
            listed = [entry.address for entry in entries if entry.state == "live"]
        except CodedError as error:
            _logger.debug("peer: cannot read the list of instances: %s", error)
        return [*fixed, *listed]

    return list_seeds
