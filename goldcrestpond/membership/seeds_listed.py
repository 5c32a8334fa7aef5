"""Event: the platform's list of instances was read."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SeedsListed:
    """Addresses in the platform's list of instances.

    The list may be outdated: its addresses are contacted, but an instance is
    never declared dead because the list lacks it.

    Attributes
    ----------
    addresses : tuple of str
        ``IP:PORT`` of peer sockets.
    """

    addresses: tuple[str, ...]
