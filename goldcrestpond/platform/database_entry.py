"""Decodes the registry entries that databases write about themselves."""

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from ..group.role import Role
from ..serving.database import Database
from ..settings.address import parse_address

TABLE = "servers"
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_IS_DRAINING = {"ready": False, "draining": True}


class _EntryBody(msgspec.Struct, rename="camel"):
    """JSON body of a registry entry.

    Attributes
    ----------
    service_name : str
        Service that the database belongs to.
    address : str
        ``IP:PORT`` of the database.
    state : str
        ``ready`` or ``draining``.
    db_role : str
        ``primary`` or ``replica``, as the database reports it.
    zone : str
        Availability zone of the database.
    slots : int
        Statements that it runs at once.
    warmup_left_ms : float
        Time until it is as fast as usual after its start.
    born : int
        Wall time of its start in Unix ms; 0 if unknown.
    sequence : int
        Rises with each entry that it writes between two starts; 0 if unknown.
    """

    service_name: str
    address: str
    state: str
    db_role: str
    zone: str = ""
    slots: int = 1
    warmup_left_ms: float = 0
    born: int = 0
    sequence: int = 0


_DECODER = msgspec.json.Decoder(_EntryBody)


def is_heartbeat(old: bytes, new: bytes) -> bool:
    """Return whether two values of an entry differ in their sequence at most."""
    try:
        entry = _DECODER.decode(new)
        entry.sequence = _DECODER.decode(old).sequence
        return entry == _DECODER.decode(old)
    except DECODE_ERRORS:
        return False


def decode_entry(key: str, value: bytes) -> Database:
    """Decode the registry entry of one database.

    Raises
    ------
    DECODE_ERRORS, KeyError, CodedError
        If the entry is not valid. Other entries are not affected.
    """
    body = _DECODER.decode(value)
    return Database(
        key,
        body.service_name,
        parse_address(body.address),
        body.zone,
        max(1, body.slots),
        _IS_DRAINING[body.state],
        _ROLES[body.db_role],
        int(body.warmup_left_ms),
        body.born,
        body.sequence,
    )
