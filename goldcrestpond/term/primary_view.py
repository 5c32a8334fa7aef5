"""The primary of a group, as known to one process."""

from dataclasses import dataclass

from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class PrimaryView:
    """The database that receives the writes of a group.

    Attributes
    ----------
    database : str
        Name within the group.
    address : Address
        Address of the database.
    term : int
        The term in which it is the primary.
    """

    database: str
    address: Address
    term: int
