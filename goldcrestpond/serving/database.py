"""An entry of the registry of databases."""

from dataclasses import dataclass

from ..group.role import Role
from ..settings.address import Address


@dataclass(frozen=True, slots=True)
class Database:
    """One database as its entry in the registry describes it.

    Attributes
    ----------
    database_id : str
        Its id; a database that restarts under the same id may have lost its log.
    service : str
        Service that it belongs to.
    address : Address
        Its address, which another database may use later.
    availability_zone : str
        Its availability zone.
    slots : int
        Statements that it runs at once.
    is_draining : bool
        Whether it is being drained.
    role : Role
        The role that it reports; not verified.
    warmup_left_ms : int
        Time until it is as fast as usual after its start.
    started_at_ms : int
        Wall time of its start in Unix ms; 0 if unknown.
    sequence : int
        Rises with each entry that it writes between two starts; 0 if unknown.
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
