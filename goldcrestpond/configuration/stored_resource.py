"""Encoding of a resource as a row of the table."""

import msgspec

from ..errors.decode_errors import DECODE_ERRORS
from .configuration_change import ConfigurationChange
from .keys import parse_resource_key
from .resource import SPEC_TYPES, Resource, Spec


class _StoredResource(msgspec.Struct):
    spec: msgspec.Raw
    generation: int


def encode_resource_row(spec: Spec, generation: int) -> bytes:
    """Return the value of a resource's row."""
    raw_spec = msgspec.Raw(msgspec.json.encode(spec))
    return msgspec.json.encode(_StoredResource(raw_spec, generation))


def decode_resource_row(change: ConfigurationChange) -> Resource:
    """Return the resource of a row that exists.

    Raises
    ------
    ValueError
        If the key or the value is not that of a resource that this version knows.
    """
    kind, name = parse_resource_key(change.key)
    try:
        stored = msgspec.json.decode(change.value or b"", type=_StoredResource)
        spec = msgspec.json.decode(stored.spec, type=SPEC_TYPES[kind])
    except DECODE_ERRORS as error:
        raise ValueError(str(error)) from error
    return Resource(kind, name, spec, stored.generation, change.revision)
