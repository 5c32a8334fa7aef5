"""The replica that serves a read."""

from dataclasses import dataclass

from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class ReplicaChoice:
    """Where a read goes.

    Attributes
    ----------
    database : str
        Name within the group.
    address : Address
        Where it is reached.
    term : int
        Term of the group in which it follows the primary.
    """

    database: str
    address: Address
    term: int
