"""Settings of the node that a process runs among its peers."""

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
        Availability zone of the instance.
    listen : Address
        Address to receive on over UDP and TCP; with port 0 the operating system
        chooses one.
    key : str
        Key that all instances of the fleet share; empty on networks that only
        instances can reach.
    """

    instance: str
    availability_zone: str
    listen: Address
    key: str = ""
