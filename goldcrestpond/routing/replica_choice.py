"""The replica chosen for a read."""

from dataclasses import dataclass

from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class ReplicaChoice:
    """Replica that serves a read.

    Attributes
    ----------
    database : str
        Name of the database within its group.
    address : Address
        Network address of the database.
    term : int
        Term in which the replica follows the group's primary.
    """

    database: str
    address: Address
    term: int
