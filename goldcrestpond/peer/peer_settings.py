"""What the peer shell of a process is told."""

from dataclasses import dataclass

from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Identity of the instance among its peers.

    Attributes
    ----------
    instance : str
        Name of the instance.
    availability_zone : str
        Availability zone.
    listen : Address
        Where to receive over UDP and TCP; port 0 lets the operating system
        choose one.
    key : str
        Key of the fleet; empty on networks that only instances reach.
    """

    instance: str
    availability_zone: str
    listen: Address
    key: str = ""
