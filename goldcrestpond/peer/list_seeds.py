"""Where peers are found first."""

import logging
from collections.abc import Awaitable, Callable, Sequence

from ..errors.coded_error import CodedError
from ..store.platform import Platform

_logger = logging.getLogger(__name__)

# Returns ``IP:PORT`` of peers.
ListSeeds = Callable[[], Awaitable[list[str]]]


def make_seed_lister(platform: Platform, fixed: Sequence[str] = ()) -> ListSeeds:
    """Return a function that lists where peers may be found.

    It reads the platform's lagging list of instances; while that cannot be
    read, it keeps to the last one.

    Parameters
    ----------
    platform : Platform
        The platform's service.
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
            _logger.debug("peer: no list of instances: %s", error)
        return [*fixed, *listed]

    return list_seeds
