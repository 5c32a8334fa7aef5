"""A database as the registry lists it."""

from dataclasses import dataclass

from ..group.role import Role
from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class Database:
    """One entry of the registry.

    Attributes
    ----------
    database_id : str
        Identity; a restart under the same one may have lost its log.
    service : str
        Service that it belongs to.
    address : Address
        Where it is reached; addresses are used again by others.
    availability_zone : str
        Its availability zone.
    slots : int
        Statements that it runs at once.
    is_draining : bool
        Whether it is leaving.
    role : Role
        Its role by its own word.
    warmup_left_ms : int
        How much longer it is slow after its start.
    started_at_ms : int
        Wall time of its start in Unix ms; 0 if unknown.
    sequence : int
        Rises with its entries from one start to the next; 0 if unknown.
    """

    database_id: str
    service: str
    address: Address
    availability_zone: str
    slots: int
    is_draining: bool
    role: Role
    warmup_left_ms: int
    started_at_ms: int
    sequence: int = 0
