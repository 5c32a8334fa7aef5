"""The primary of a group as one process sees it."""

from dataclasses import dataclass

from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """Where writes go.

    Attributes
    ----------
    database : str
        Name within the group.
    address : Address
        Where it is reached.
    term : int
        The term in which it is the primary.
    """

    database: str
    address: Address
    term: int
