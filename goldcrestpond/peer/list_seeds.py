"""Lists addresses at which an instance looks for its peers."""

import logging
from collections.abc import Awaitable, Callable, Sequence

from ..errors.coded_error import CodedError
from ..store.platform import Platform

_logger = logging.getLogger(__name__)

# Returns ``IP:PORT`` of peers.
ListSeeds = Callable[[], Awaitable[list[str]]]


def make_seed_lister(
    platform: Platform, fixed_addresses: Sequence[str] = ()
) -> ListSeeds:
    """Return a function that lists the addresses of possible peers.

    The function reads the platform's list of instances, which may be out
    of date. While the list cannot be read, the function uses the last one read.

    Parameters
    ----------
    platform : Platform
        Client of the platform.
    fixed_addresses : sequence of str
        Addresses that are always listed.
    """
    live_addresses: list[str] = []

    async def list_seeds() -> list[str]:
        nonlocal live_addresses
        try:
            entries = await platform.instances()
            live_addresses = [
                entry.address for entry in entries if entry.state == "live"
            ]
        except CodedError as error:
            _logger.debug("peer: cannot read the list of instances: %s", error)
        return [*fixed_addresses, *live_addresses]

    return list_seeds
