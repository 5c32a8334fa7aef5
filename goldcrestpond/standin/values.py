"""Wire formats of the PostgreSQL types that the stand-in supports."""

import struct

BOOL_OID = 16
INT8_OID = 20
INT2_OID = 21
INT4_OID = 23
TEXT_OID = 25
FLOAT8_OID = 701
VOID_OID = 2278

_BINARY_LAYOUTS = {
    BOOL_OID: struct.Struct("!?"),
    INT8_OID: struct.Struct("!q"),
    INT2_OID: struct.Struct("!h"),
    INT4_OID: struct.Struct("!i"),
    FLOAT8_OID: struct.Struct("!d"),
}

_PARSERS_BY_OID = {
    BOOL_OID: lambda text: str(text).lower() in ("t", "true", "on", "1", "yes"),
    INT8_OID: int,
    INT2_OID: int,
    INT4_OID: int,
    FLOAT8_OID: float,
    1700: float,
}

_TYPE_NAMES = (
    (("bool", "boolean"), BOOL_OID),
    (("bigint", "int8", "bigserial"), INT8_OID),
    (("smallint", "int2"), INT2_OID),
    (("int", "int4", "integer", "serial"), INT4_OID),
    (("float8", "double precision", "real", "float", "float4"), FLOAT8_OID),
)
_OIDS_BY_NAME = {name: oid for names, oid in _TYPE_NAMES for name in names}


def get_type_oid(name: str) -> int:
    """Return the OID of a type; unsupported types are treated as text."""
    return _OIDS_BY_NAME.get(" ".join(name.lower().split()), TEXT_OID)


def decode_value(data: bytes | None, oid: int, is_binary: bool) -> object:
    """Decode a parameter into a value for sqlite."""
    if data is None:
        return None
    if is_binary and oid in _BINARY_LAYOUTS:
        return _BINARY_LAYOUTS[oid].unpack(data)[0]
    text = data.decode()
    parse = _PARSERS_BY_OID.get(oid)
    return parse(text) if parse else text


def encode_value(value: object, oid: int, is_binary: bool) -> bytes | None:
    """Encode a value of a result row."""
    if value is None:
        return None
    if oid in _PARSERS_BY_OID:
        value = _PARSERS_BY_OID[oid](value)
    if is_binary and oid in _BINARY_LAYOUTS:
        return _BINARY_LAYOUTS[oid].pack(value)
    if isinstance(value, bool):
        return b"t" if value else b"f"
    return value if isinstance(value, bytes) else str(value).encode()
