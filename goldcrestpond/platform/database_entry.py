"""Decodes the registry entries that databases write about themselves."""

import msgspec

from ..errors.coded_error import CodedError
from ..errors.decode_errors import DECODE_ERRORS
from ..errors.result_code import ResultCode
from ..group.role import Role
from ..serving.database import Database
from ..serving.row_fields import Count, Slots, SpanMs, is_name
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
    slots: Slots = 1
    warmup_left_ms: SpanMs = 0
    born: Count = 0
    sequence: Count = 0


_DECODER = msgspec.json.Decoder(_EntryBody)


def _can_send(name: str) -> bool:
    """Return whether a name can be a field of a line, which has a byte a character."""
    return is_name(name) and max(name) <= "\xff"


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
    address = parse_address(body.address)
    can_connect = address.port and _can_send(key) and _can_send(body.service_name)
    if not can_connect:
        detail = "the id or the service is no name, or the port is 0"
        raise CodedError(ResultCode.ENDPOINT_MALFORMED, detail)
    return Database(
        key,
        body.service_name,
        address,
        body.zone,
        max(1, body.slots),
        _IS_DRAINING[body.state],
        _ROLES[body.db_role],
        int(body.warmup_left_ms),
        body.born,
        body.sequence,
    )
