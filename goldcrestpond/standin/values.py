"""Values on the wire: the few PostgreSQL types that the stand-in knows."""

import struct

BOOL_OID = 16
INT8_OID = 20
INT2_OID = 21
INT4_OID = 23
TEXT_OID = 25
FLOAT8_OID = 701
VOID_OID = 2278

_LAYOUTS = {
    BOOL_OID: struct.Struct("!?"),
    INT8_OID: struct.Struct("!q"),
    INT2_OID: struct.Struct("!h"),
    INT4_OID: struct.Struct("!i"),
    FLOAT8_OID: struct.Struct("!d"),
}

_PARSERS = {
    BOOL_OID: lambda text: str(text).lower() in ("t", "true", "on", "1", "yes"),
    INT8_OID: int,
    INT2_OID: int,
    INT4_OID: int,
    FLOAT8_OID: float,
    1700: float,
}

_NAMES = (
    (("bool", "boolean"), BOOL_OID),
    (("bigint", "int8", "bigserial"), INT8_OID),
    (("smallint", "int2"), INT2_OID),
    (("int", "int4", "integer", "serial"), INT4_OID),
    (("float8", "double precision", "real", "float", "float4"), FLOAT8_OID),
)
_OIDS = {name: oid for names, oid in _NAMES for name in names}


def oid_of_type(name: str) -> int:
    """Return the type's number; a type that is not known is sent as text."""
    return _OIDS.get(" ".join(name.lower().split()), TEXT_OID)


def decode_value(data: bytes | None, oid: int, is_binary: bool) -> object:
    """Return the value of a parameter as sqlite takes it."""
    if data is None:
        return None
    if is_binary and oid in _LAYOUTS:
        return _LAYOUTS[oid].unpack(data)[0]
    text = data.decode()
    parse = _PARSERS.get(oid)
    return parse(text) if parse else text


def encode_value(value: object, oid: int, is_binary: bool) -> bytes | None:
    """Return the bytes of a result's column."""
    if value is None:
        return None
    if oid in _PARSERS:
        value = _PARSERS[oid](value)
    if is_binary and oid in _LAYOUTS:
        return _LAYOUTS[oid].pack(value)
    if isinstance(value, bool):
        return b"t" if value else b"f"
    return value if isinstance(value, bytes) else str(value).encode()
