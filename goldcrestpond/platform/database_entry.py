"""Decodes the registry entries that databases write about themselves."""

import msgspec

from ..group.role import Role
from ..serving.database import Database
from ..settings.address import parse_address

TABLE = "servers"
_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_IS_DRAINING = {"ready": False, "draining": True}


class _EntryBody(msgspec.Struct, rename="camel"):
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
