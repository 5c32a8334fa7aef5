"""Event: the platform listed instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SeedsListed:
    """Addresses of the platform's list, which lags: contacts, never verdicts.

    Attributes
    ----------
    addresses : tuple of str
        ``IP:PORT`` of peer sockets.
    """

    addresses: tuple[str, ...]
